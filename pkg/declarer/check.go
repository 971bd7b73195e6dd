package declarer

import (
	"fmt"
	"math"
	"regexp"
	"slices"
)

// Limits of a declaration. schema.json contains the same values.
const (
	maxCentres          = 64
	maxServices         = 4_096
	maxWorkspaces       = 100_000
	maxKeysPerWorkspace = 64
	maxRoutes           = 65_536
	maxSlots            = 65_536
	maxRatePerSecond    = 1_000_000
	maxBurst            = 1_000_000 // requests
	maxWeight           = 1_000
	maxDeadlineMS       = 3_600_000
	maxRank             = 1_000
	maxPartsPerRoute    = 64
	maxPartWeight       = 1_000_000
	maxTries            = 16
	maxPacePerSecond    = 1_000_000
	maxPathBytes        = 1_024
)

// Rules, as reported in Problem.Rule.
const (
	ruleName           = "a name is 1 to 63 of a-z, 0-9 and -, and neither starts nor ends with -"
	ruleUnique         = "must be unique"
	ruleSlots          = "must be 1 to 65536"
	ruleCold           = "must be 1 to slots"
	ruleFloor          = "must be 0 to 1"
	ruleRate           = "must be above 0 and at most 1000000 requests a second"
	ruleBurst          = "must be 1 to 1000000 requests"
	ruleWeight         = "must be 0 to 1000"
	ruleDigest         = "must be a SHA-256 digest in 64 lower-case hex digits"
	ruleHost           = "must be empty or a lower-case host name without a port"
	rulePath           = "must start with / and have at most 1024 printable characters without //, ?, # and spaces"
	ruleMethods        = "must be GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS, each at most once"
	ruleDeadline       = "must be 1 to 3600000 milliseconds"
	ruleService        = "must name a service of the declaration"
	ruleRouteWorkspace = "must be empty or name a workspace of the declaration"
	ruleOpen           = "an open route is bound to no workspace"
	ruleOverlap        = "another route has the same host, path and method"
	ruleRank           = "must be 0 to 1000"
	rulePartWeight     = "must be 0 to 1000000"
	ruleAim            = "must be 0 to 3600000 milliseconds"
	ruleTries          = "must be 0 to 16"
	rulePace           = "must be 0 to 1000000 requests a second"
	ruleTooMany        = "has too many items"
)

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	digestPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	hostPattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	pathPattern    = regexp.MustCompile(`^(/[!-"$-.0->@-~]+)*/?$`)
	allowedMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// Check returns all problems of the declaration, in the order of the
// declaration. A declaration without problems may be applied.
func (f Fleet) Check() []Problem {
	c := &checker{services: names(f.Services, serviceName), workspaces: names(f.Workspaces, workspaceName)}
	c.checkCount("centres", len(f.Centres), maxCentres)
	c.checkCount("services", len(f.Services), maxServices)
	c.checkCount("workspaces", len(f.Workspaces), maxWorkspaces)
	c.checkCount("routes", len(f.Routes), maxRoutes)
	checkItems(c, "centres", f.Centres, centreName, c.checkCentre)
	checkItems(c, "services", f.Services, serviceName, c.checkService)
	checkItems(c, "workspaces", f.Workspaces, workspaceName, c.checkWorkspace)
	checkItems(c, "routes", f.Routes, routeName, c.checkRoute)
	return c.problems
}

func names[T any](list []T, name func(T) string) map[string]bool {
	out := make(map[string]bool, len(list))
	for _, item := range list {
		out[name(item)] = true
	}
	return out
}

// checker collects the problems of one declaration.
type checker struct {
	problems []Problem
	// services and workspaces contain the names that routes may refer to.
	services, workspaces map[string]bool
	// seenDigests contains the key digests checked so far, seenRoutes each
	// combination of host, path and method.
	seenDigests, seenRoutes map[string]bool
}

func (c *checker) add(path, value, rule string) {
	c.problems = append(c.problems, Problem{Path: path, Value: value, Rule: rule})
}

// require adds a problem unless ok is true.
func (c *checker) require(ok bool, path string, value any, rule string) {
	if !ok {
		c.add(path, formatValue(value), rule)
	}
}

func formatValue(v any) string {
	if s, ok := v.(string); ok {
		return fmt.Sprintf("%.80q", s)
	}
	return fmt.Sprint(v)
}

func (c *checker) checkCount(path string, n, limit int) {
	if n > limit {
		c.add(path, fmt.Sprintf("%d items", n), ruleTooMany)
	}
}

// checkItems checks each item of a list and that its name is valid and unique.
func checkItems[T any](c *checker, list string, items []T, name func(T) string, check func(path string, item T)) {
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		path, n := fmt.Sprintf("%s[%d]", list, i), name(item)
		c.require(namePattern.MatchString(n), path+".name", n, ruleName)
		c.require(!seen[n], path+".name", n, ruleUnique)
		seen[n] = true
		check(path, item)
	}
}

func (c *checker) checkCentre(path string, d Centre) {
	c.require(namePattern.MatchString(d.Region), path+".region", d.Region, ruleName)
}

func (c *checker) checkService(path string, s Service) {
	c.require(s.Slots >= 1 && s.Slots <= maxSlots, path+".slots", s.Slots, ruleSlots)
	c.require(s.Cold >= 1 && s.Cold <= s.Slots, path+".cold", s.Cold, ruleCold)
	c.require(s.Floor >= 0 && s.Floor <= 1, path+".floor", s.Floor, ruleFloor)
	valid := s.Health == "" || len(s.Health) <= maxPathBytes && pathPattern.MatchString(s.Health)
	c.require(valid, path+".health", s.Health, rulePath)
	c.require(s.Pace >= 0 && s.Pace <= maxPacePerSecond, path+".pace", s.Pace, rulePace)
}

func (c *checker) checkWorkspace(path string, w Workspace) {
	c.require(w.Rate > 0 && w.Rate <= maxRatePerSecond && !math.IsNaN(w.Rate), path+".rate", w.Rate, ruleRate)
	c.require(w.Burst >= 1 && w.Burst <= maxBurst, path+".burst", w.Burst, ruleBurst)
	c.require(w.Rank >= 0 && w.Rank <= maxRank, path+".rank", w.Rank, ruleRank)
	c.require(w.Weight >= 0 && w.Weight <= maxWeight, path+".weight", w.Weight, ruleWeight)
	c.checkCount(path+".keys", len(w.Keys), maxKeysPerWorkspace)
	checkItems(c, path+".keys", w.Keys, keyName, c.checkKey)
}

// checkKey never reports the digest's text, because an operator may have
// entered the key itself there.
func (c *checker) checkKey(path string, k Key) {
	hidden := fmt.Sprintf("%d characters", len(k.Digest))
	if !digestPattern.MatchString(k.Digest) {
		c.add(path+".digest", hidden, ruleDigest)
		return
	}
	if c.seenDigests == nil {
		c.seenDigests = map[string]bool{}
	}
	if c.seenDigests[k.Digest] {
		c.add(path+".digest", hidden, ruleUnique)
	}
	c.seenDigests[k.Digest] = true
}

func (c *checker) checkRoute(path string, r Route) {
	c.require(r.Host == "" || hostPattern.MatchString(r.Host), path+".host", r.Host, ruleHost)
	valid := r.Path != "" && len(r.Path) <= maxPathBytes && pathPattern.MatchString(r.Path)
	c.require(valid, path+".path", r.Path, rulePath)
	c.require(c.services[r.Service], path+".service", r.Service, ruleService)
	c.require(r.Workspace == "" || c.workspaces[r.Workspace], path+".workspace", r.Workspace, ruleRouteWorkspace)
	c.require(!r.Open || r.Workspace == "", path+".open", r.Workspace, ruleOpen)
	c.require(r.Deadline >= 1 && r.Deadline <= maxDeadlineMS, path+".deadline", r.Deadline, ruleDeadline)
	c.require(r.Rank >= 0 && r.Rank <= maxRank, path+".rank", r.Rank, ruleRank)
	c.require(r.Aim >= 0 && r.Aim <= maxDeadlineMS, path+".aim", r.Aim, ruleAim)
	c.require(r.Tries >= 0 && r.Tries <= maxTries, path+".tries", r.Tries, ruleTries)
	c.checkParts(path+".parts", r.Parts)
	c.checkMethods(path+".methods", r.Methods)
	c.checkOverlap(path+".path", r)
}

func (c *checker) checkParts(path string, parts []Part) {
	c.checkCount(path, len(parts), maxPartsPerRoute)
	for i, p := range parts {
		partPath := fmt.Sprintf("%s[%d]", path, i)
		c.require(c.services[p.Service], partPath+".service", p.Service, ruleService)
		c.require(p.Weight >= 0 && p.Weight <= maxPartWeight, partPath+".weight", p.Weight, rulePartWeight)
	}
}

func (c *checker) checkMethods(path string, methods []string) {
	for i, m := range methods {
		valid := slices.Contains(allowedMethods, m) && !slices.Contains(methods[:i], m)
		c.require(valid, fmt.Sprintf("%s[%d]", path, i), m, ruleMethods)
	}
}

// checkOverlap reports a route that has the same host and path as an earlier one
// and shares a method with it, because a request could then match both.
func (c *checker) checkOverlap(path string, r Route) {
	if c.seenRoutes == nil {
		c.seenRoutes = map[string]bool{}
	}
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	overlaps := false
	for _, m := range methods {
		key := r.Host + "\n" + r.Path + "\n" + m
		overlaps = overlaps || c.seenRoutes[key]
		c.seenRoutes[key] = true
	}
	c.require(!overlaps, path, r.Path, ruleOverlap)
}
