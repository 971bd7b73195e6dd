package settingsloader

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// Defaults, values and limits of settings.
const (
	// DefaultCallersPort, DefaultLinkPort and DefaultAdminPort are the ports
	// of the addresses Callers, Link and Admin.
	DefaultCallersPort = 7401
	DefaultLinkPort    = 7402
	DefaultAdminPort   = 7403
	// DefaultLevel is the log level.
	DefaultLevel = "info"

	// DialectOwn and DialectPlatform are the values of Settings.Dialect,
	// RatesStrict and RatesShared those of Settings.Rates.
	DialectOwn      = "own"
	DialectPlatform = "platform"
	RatesStrict     = "strict"
	RatesShared     = "shared"

	maxTimeMillis    = 86_400_000
	maxGraceSeconds  = 86_400
	maxExtraRequests = 1_000_000_000 // bounds Slack and Excess
	minSecretBytes   = 16
	maxSecretBytes   = 256
	maxSeeds         = 1_024
)

// Rules as they appear in problems.
const (
	ruleName          = "must be 1 to 63 of a-z, 0-9 and -, and neither start nor end with -"
	ruleIP            = "must be an IP of this VM, such as 127.0.1.1"
	rulePort          = "must be an IP and a port, such as 127.0.1.1:7401"
	ruleDistinct      = "must differ from the other addresses"
	ruleStore         = "must be a URL, such as http://127.0.0.1:7400"
	ruleSecret        = "must have 16 to 256 bytes"
	ruleSeed          = "must be NAME=IP:PORT of a node's link address"
	ruleSeeds         = "must be at most 1024 nodes"
	ruleLevel         = "must be error, info or debug"
	ruleDialect       = "must be own or platform"
	ruleRates         = "must be strict or shared"
	ruleCentre        = "must be NAME=REGION"
	ruleTime          = "must be 0 to 86400000 milliseconds"
	ruleGrace         = "must be 0 to 86400 seconds"
	ruleFraction      = "must be 0 to 1"
	ruleExtraRequests = "must be 0 to 1000000000"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// WithDefaults returns the settings with defaults for the empty addresses,
// dialect, rates and level.
func (s Settings) WithDefaults() Settings {
	fill := func(field *string, port int) {
		if *field == "" && s.Address != "" {
			*field = net.JoinHostPort(s.Address, strconv.Itoa(port))
		}
	}
	fill(&s.Callers, DefaultCallersPort)
	fill(&s.Link, DefaultLinkPort)
	fill(&s.Admin, DefaultAdminPort)
	if s.Dialect == "" {
		s.Dialect = DialectOwn
	}
	if s.Rates == "" {
		s.Rates = RatesStrict
	}
	if s.Level == "" {
		s.Level = DefaultLevel
	}
	return s
}

// Check returns a problem for each setting that breaks a rule, by its path. The
// secret never appears in them.
func (s Settings) Check() []declarer.Problem {
	var c checker
	c.require(namePattern.MatchString(s.Name), "name", s.Name, ruleName)
	c.require(namePattern.MatchString(s.Centre), "centre", s.Centre, ruleName)
	c.require(namePattern.MatchString(s.Region), "region", s.Region, ruleName)
	c.require(isIP(s.Address), "address", s.Address, ruleIP)
	c.checkAddresses(s)
	u, err := url.Parse(s.Store)
	c.require(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", "store", s.Store, ruleStore)
	secretOK := len(s.Secret) >= minSecretBytes && len(s.Secret) <= maxSecretBytes
	c.require(secretOK, "secret", fmt.Sprintf("%d bytes", len(s.Secret)), ruleSecret)
	c.require(len(s.Seeds) <= maxSeeds, "seeds", strconv.Itoa(len(s.Seeds)), ruleSeeds)
	for i, seed := range s.Seeds {
		name, address, ok := strings.Cut(seed, "=")
		ok = ok && namePattern.MatchString(name) && isAddress(address)
		c.require(ok, fmt.Sprintf("seeds[%d]", i), seed, ruleSeed)
	}
	c.require(s.Level == "error" || s.Level == "info" || s.Level == "debug", "level", s.Level, ruleLevel)
	c.checkPlatform(s)
	return c.problems
}

// checkPlatform checks the settings for the users' platform, and the times,
// fractions and budgets.
func (c *checker) checkPlatform(s Settings) {
	c.require(s.Dialect == "" || s.Dialect == DialectOwn || s.Dialect == DialectPlatform, "dialect", s.Dialect, ruleDialect)
	c.require(s.Rates == "" || s.Rates == RatesStrict || s.Rates == RatesShared, "rates", s.Rates, ruleRates)
	for _, a := range []struct{ path, value string }{{"ready", s.Ready}, {"announce", s.Announce}, {"target", s.Target}} {
		c.require(a.value == "" || isAddress(a.value), a.path, a.value, rulePort)
	}
	for i, v := range s.Centres {
		name, region, ok := strings.Cut(v, "=")
		ok = ok && namePattern.MatchString(name) && namePattern.MatchString(region)
		c.require(ok, fmt.Sprintf("centres[%d]", i), v, ruleCentre)
	}
	c.requireRange("beat", s.Beat, maxTimeMillis, ruleTime)
	c.requireRange("notice", s.Notice, maxTimeMillis, ruleTime)
	c.requireRange("keep", s.Keep, maxTimeMillis, ruleTime)
	c.requireRange("linger", s.Linger, maxTimeMillis, ruleTime)
	c.requireRange("grace", s.Grace, maxGraceSeconds, ruleGrace)
	c.requireRange("floor", s.Floor, 1, ruleFraction)
	c.requireRange("ratio", s.Ratio, 1, ruleFraction)
	c.requireRange("slack", s.Slack, maxExtraRequests, ruleExtraRequests)
	c.requireRange("excess", s.Excess, maxExtraRequests, ruleExtraRequests)
	c.checkLimits(s.Limits)
}

type checker struct {
	problems []declarer.Problem
}

func (c *checker) require(ok bool, path, value, rule string) {
	if ok {
		return
	}
	c.problems = append(c.problems, declarer.Problem{Path: path, Value: fmt.Sprintf("%.80q", value), Rule: rule})
}

// requireRange requires a number from 0 to highest. NaN is outside of it.
func (c *checker) requireRange(path string, value, highest float64, rule string) {
	c.require(value >= 0 && value <= highest, path, strconv.FormatFloat(value, 'g', -1, 64), rule)
}

// checkAddresses checks the three addresses that a node listens on.
func (c *checker) checkAddresses(s Settings) {
	seen := map[string]bool{}
	for _, a := range []struct{ path, value string }{{"callers", s.Callers}, {"link", s.Link}, {"admin", s.Admin}} {
		c.require(isAddress(a.value), a.path, a.value, rulePort)
		c.require(!seen[a.value], a.path, a.value, ruleDistinct)
		seen[a.value] = a.value != ""
	}
}

func isIP(s string) bool {
	a, err := netip.ParseAddr(s)
	return err == nil && !a.IsUnspecified() && !a.IsMulticast()
}

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

// InvalidError holds all problems of settings. It unwraps to a coder.Error
// with coder.BadSettings.
type InvalidError struct {
	// Problems has at least one item.
	Problems []declarer.Problem
}

// Error lists all problems.
func (e *InvalidError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the refusal with its code.
func (e *InvalidError) Unwrap() error {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return coder.New(coder.BadSettings, "%s", strings.Join(lines, "; "))
}

// AsInvalidError returns problems as an InvalidError, or nil when there are
// none.
func AsInvalidError(problems []declarer.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: problems}
}
