package declarer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// validFleet returns a declaration that breaks no rule.
func validFleet() Fleet {
	return Fleet{}.
		WithCentre(Centre{Name: "jos-a", Region: "ng-central"}).
		WithService(Service{Name: "booking", Slots: 7, Cold: 2, Floor: 0.7}).
		WithWorkspace(Workspace{Name: "club", Rate: 10, Burst: 20}.WithKey("first", "secret")).
		WithRoute(Route{Name: "book", Path: "/book", Methods: []string{"POST"}, Service: "booking", Once: true, Deadline: 3000})
}

func TestCheckReportsPathValueAndRule(t *testing.T) {
	c := qt.New(t)
	c.Assert(validFleet().Check(), qt.HasLen, 0)
	for _, tc := range []struct {
		want string
		edit func(*Fleet)
	}{
		{`centres[0].name: "Jos A": ` + ruleName, func(f *Fleet) { f.Centres[0].Name = "Jos A" }},
		{`centres[0].region: "": ` + ruleName, func(f *Fleet) { f.Centres[0].Region = "" }},
		{`services[0].slots: 0: ` + ruleSlots, func(f *Fleet) { f.Services[0] = Service{Name: "booking", Cold: 0} }},
		{`services[0].cold: 8: ` + ruleCold, func(f *Fleet) { f.Services[0].Cold = 8 }},
		{`services[0].floor: 1.5: ` + ruleFloor, func(f *Fleet) { f.Services[0].Floor = 1.5 }},
		{`workspaces[0].rate: 0: ` + ruleRate, func(f *Fleet) { f.Workspaces[0].Rate = 0 }},
		{`workspaces[0].burst: 0: ` + ruleBurst, func(f *Fleet) { f.Workspaces[0].Burst = 0 }},
		{`workspaces[0].weight: -1: ` + ruleWeight, func(f *Fleet) { f.Workspaces[0].Weight = -1 }},
		{`workspaces[0].keys[0].digest: 6 characters: ` + ruleDigest, func(f *Fleet) { f.Workspaces[0].Keys[0].Digest = "secret" }},
		{`workspaces[0].keys[1].digest: 64 characters: ` + ruleUnique, func(f *Fleet) { f.Workspaces[0] = f.Workspaces[0].WithKey("again", "secret") }},
		{`routes[0].host: "A:80": ` + ruleHost, func(f *Fleet) { f.Routes[0].Host = "A:80" }},
		{`routes[0].path: "book": ` + rulePath, func(f *Fleet) { f.Routes[0].Path = "book" }},
		{`routes[0].service: "none": ` + ruleService, func(f *Fleet) { f.Routes[0].Service = "none" }},
		{`routes[0].workspace: "none": ` + ruleRouteWorkspace, func(f *Fleet) { f.Routes[0].Workspace = "none" }},
		{`routes[0].open: "club": ` + ruleOpen, func(f *Fleet) { f.Routes[0].Open, f.Routes[0].Workspace = true, "club" }},
		{`routes[0].methods[1]: "POST": ` + ruleMethods, func(f *Fleet) { f.Routes[0].Methods = []string{"POST", "POST"} }},
		{`routes[0].deadline: 0: ` + ruleDeadline, func(f *Fleet) { f.Routes[0].Deadline = 0 }},
		{`routes[1].path: "/book": ` + ruleOverlap, func(f *Fleet) {
			*f = f.WithRoute(Route{Name: "twin", Path: "/book", Methods: []string{"GET", "POST"}, Service: "booking", Deadline: 1})
		}},
		{`routes[1].path: "/book/": ` + ruleOverlap, func(f *Fleet) {
			f.Routes[0].Path = "/book/"
			*f = f.WithRoute(Route{Name: "twin", Path: "/book/", Methods: []string{"GET", "POST"}, Service: "booking", Deadline: 1})
		}},
	} {
		f := validFleet()
		tc.edit(&f)
		problems := f.Check()
		c.Assert(problems, qt.Not(qt.HasLen), 0, qt.Commentf("%s", tc.want))
		c.Check(problems[0].String(), qt.Equals, tc.want)
	}
}

// /book/ begins other paths than /book, so that both may be declared.
func TestCheckTellsPrefixesByTheirLastSlash(t *testing.T) {
	f := validFleet().WithRoute(Route{Name: "below", Path: "/book/", Methods: []string{"POST"}, Service: "booking", Deadline: 1})
	qt.Assert(t, f.Check(), qt.HasLen, 0)
}

func TestReadRejectsInvalidDeclaration(t *testing.T) {
	c := qt.New(t)
	var valid bytes.Buffer
	c.Assert(validFleet().Print(&valid), qt.IsNil)
	edit := func(from, to string) string { return strings.Replace(valid.String(), from, to, 1) }
	for _, tc := range []struct{ text, want string }{
		{"", "is not JSON"},
		{"{", "is not JSON"},
		{valid.String() + "{}", "is not JSON"},
		{`{"routes":[{"deadline":1e999999}]}`, "is not JSON"},
		{"[]", "got array, want object"},
		{edit(`"deadline": 3000`, `"deadline": 3000, "retries": 2`), "routes[0]: additional properties 'retries' not allowed"},
		{edit(`"deadline": 3000`, `"deadline": "3s"`), `routes[0].deadline: "3s": got string, want integer`},
		{edit(`"deadline"`, `"Deadline"`), "routes[0]: missing property 'deadline'"},
		{edit(`"deadline": 3000`, `"deadline": 3000, "deadline": 1`), `routes[0]: "deadline": a field stands here twice`},
		{edit(`"floor": 0.7`, `"floor": 7`), "services[0].floor: 7: " + ruleFloor},
		{edit(`"cold": 2`, `"cold": 8`), "services[0].cold: 8: " + ruleCold},
		{edit(Digest("secret"), "secret"), "workspaces[0].keys[0].digest: 6 characters: " + ruleDigest},
	} {
		_, err := Read(strings.NewReader(tc.text))
		c.Assert(err, qt.IsNotNil, qt.Commentf("%s", tc.text))
		c.Check(coder.Of(err).Code, qt.Equals, coder.BadDeclaration)
		c.Check(err.Error(), qt.Contains, tc.want)
		c.Check(err.Error(), qt.Not(qt.Contains), `"secret"`)
	}
}

// TestSchemaHasEveryField fails if a field is added to a type but not to the
// schema, which would then reject it.
func TestSchemaHasEveryField(t *testing.T) {
	var schema struct {
		Properties map[string]any
		Defs       map[string]struct{ Properties map[string]any } `json:"$defs"`
	}
	qt.Assert(t, json.Unmarshal(Schema(), &schema), qt.IsNil)
	for name, value := range map[string]any{
		"": Fleet{}, "centre": Centre{}, "service": Service{}, "workspace": Workspace{}, "key": Key{}, "route": Route{},
	} {
		properties := schema.Defs[name].Properties
		if name == "" {
			properties = schema.Properties
		}
		fields := reflect.TypeOf(value)
		qt.Check(t, properties, qt.HasLen, fields.NumField(), qt.Commentf("%s", name))
		for i := range fields.NumField() {
			field, _, _ := strings.Cut(fields.Field(i).Tag.Get("json"), ",")
			qt.Check(t, properties[field], qt.IsNotNil, qt.Commentf("%s.%s", name, field))
		}
	}
}

// endlessSpaces is a reader that returns spaces forever.
type endlessSpaces struct{}

func (endlessSpaces) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = ' '
	}
	return len(b), nil
}

func TestReadLimitsSize(t *testing.T) {
	_, err := Read(endlessSpaces{})
	qt.Assert(t, err, qt.ErrorMatches, ".*must have at most 67108864 bytes")
}

var (
	anyName   = rapid.SampledFrom([]string{"a", "b", "booking", "jos-a", "", "-a", "A", "a b", strings.Repeat("x", 64)})
	anyPath   = rapid.SampledFrom([]string{"/", "/a", "/a/b/", "", "a", "//", "/a?b", "/a b", "/" + strings.Repeat("x", 1024)})
	anyHost   = rapid.SampledFrom([]string{"", "a.example", "A", "a:1", "-", "a."})
	anyDigest = rapid.SampledFrom([]string{Digest("a"), Digest("b"), "", "zz", strings.ToUpper(Digest("a"))})
	anyMethod = rapid.SampledFrom([]string{"GET", "POST", "get", "TRACE"})
)

func fleetGenerator(name, path, host, digest, method *rapid.Generator[string]) *rapid.Generator[Fleet] {
	return rapid.Custom(func(t *rapid.T) Fleet {
		f := Fleet{}.Sorted()
		for range rapid.IntRange(0, 2).Draw(t, "n") {
			f = f.
				WithCentre(Centre{Name: name.Draw(t, "centre"), Region: name.Draw(t, "region"), Out: rapid.Bool().Draw(t, "out")}).
				WithService(Service{Name: name.Draw(t, "service"), Slots: rapid.IntRange(-1, 65537).Draw(t, "slots"), Cold: rapid.IntRange(-1, 3).Draw(t, "cold"), Floor: rapid.Float64Range(-1, 2).Draw(t, "floor")}).
				WithWorkspace(Workspace{
					Name: name.Draw(t, "workspace"), Rate: rapid.Float64Range(-1, 1000001).Draw(t, "rate"),
					Burst: rapid.IntRange(-1, 1000001).Draw(t, "burst"), Weight: rapid.IntRange(-1, 1001).Draw(t, "weight"),
					Keys: []Key{{Name: name.Draw(t, "key"), Digest: digest.Draw(t, "digest")}},
				}).
				WithRoute(Route{
					Name: name.Draw(t, "route"), Path: path.Draw(t, "path"), Host: host.Draw(t, "host"), Service: name.Draw(t, "to"),
					Methods: rapid.SliceOfN(method, 1, 3).Draw(t, "methods"), Deadline: rapid.IntRange(-1, 3600001).Draw(t, "deadline"),
					Once: rapid.Bool().Draw(t, "once"), Wait: rapid.Bool().Draw(t, "wait"),
				})
		}
		return f
	})
}

// crossFieldRules compare two values, which the schema cannot express.
var crossFieldRules = map[string]bool{ruleUnique: true, ruleCold: true, ruleService: true, ruleRouteWorkspace: true, ruleOpen: true, ruleOverlap: true}

// problemPaths returns the paths of problems, without those of crossFieldRules
// unless includeCrossField is set. The path of a route's methods is replaced by
// that of the route, because the schema reports duplicate methods on the whole
// list.
func problemPaths(problems []Problem, includeCrossField bool) map[string]bool {
	out := map[string]bool{}
	for _, p := range problems {
		if includeCrossField || !crossFieldRules[p.Rule] {
			path, _, _ := strings.Cut(p.Path, ".methods[")
			out[strings.TrimSuffix(path, ".methods")] = true
		}
	}
	return out
}

func TestSchemaAndCheckAgree(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := fleetGenerator(anyName, anyPath, anyHost, anyDigest, anyMethod).Draw(r, "fleet")
		b, err := json.Marshal(f)
		if err != nil {
			r.Fatal(err)
		}
		schema, check := validate(b), f.Check()
		for path := range problemPaths(check, false) {
			if !problemPaths(schema, true)[path] {
				r.Fatalf("only Check reports %s: %v", path, check)
			}
		}
		for path := range problemPaths(schema, true) {
			if !problemPaths(check, true)[path] {
				r.Fatalf("only the schema reports %s: %v", path, schema)
			}
		}
		if _, err := Read(bytes.NewReader(b)); (err == nil) != (len(check) == 0) {
			r.Fatalf("Read returned %v, Check %v", err, check)
		}
	})
}

func TestPrintReadRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := validFleet()
		for i := range rapid.IntRange(0, 3).Draw(r, "workspaces") {
			w := Workspace{Name: fmt.Sprintf("w%d", i), Rate: rapid.Float64Range(0.1, 1e6).Draw(r, "rate"), Burst: rapid.IntRange(1, 1e6).Draw(r, "burst")}
			f = f.WithWorkspace(w.WithKey("k", fmt.Sprint("key", i)))
		}
		for i := range rapid.IntRange(0, 3).Draw(r, "routes") {
			f = f.WithRoute(Route{Name: fmt.Sprintf("r%d", i), Path: fmt.Sprintf("/r/%d", i), Service: "booking", Open: rapid.Bool().Draw(r, "open"), Deadline: rapid.IntRange(1, maxDeadlineMS).Draw(r, "deadline")})
		}
		var first, second bytes.Buffer
		if err := f.Print(&first); err != nil {
			r.Fatal(err)
		}
		parsed, err := Read(bytes.NewReader(first.Bytes()))
		if err != nil {
			r.Fatal(err)
		}
		if err := parsed.Print(&second); err != nil {
			r.Fatal(err)
		}
		if !bytes.Equal(first.Bytes(), second.Bytes()) {
			r.Fatalf("printed\n%s\nparsed and printed again\n%s", first.Bytes(), second.Bytes())
		}
	})
}

func FuzzRead(f *testing.F) {
	var valid bytes.Buffer
	if err := validFleet().Print(&valid); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add([]byte(`{"centres":[],"services":[],"workspaces":[],"routes":[]}`))
	f.Add([]byte(`{"routes":[{"deadline":1e99}]}`))
	f.Add([]byte(`{"routes":[{"deadline":1e999999}]}`))
	f.Add([]byte(`{"routes":[],"routes":[[{"a":1,"a":{}}]]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		fleet, err := Read(bytes.NewReader(b))
		var invalidErr *InvalidError
		if err != nil && !errors.As(err, &invalidErr) {
			t.Fatalf("Read returned an error other than InvalidError: %v", err)
		}
		if err == nil && len(fleet.Check()) > 0 {
			t.Fatalf("Read accepted an invalid declaration: %v", fleet.Check())
		}
	})
}
