package settingsloader

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

func validSettings() Settings {
	return Settings{
		Name: "a1", Centre: "jos-a", Region: "ng-central", Address: "127.0.1.1",
		Store: "http://127.0.0.1:7400", Secret: strings.Repeat("s", 16), Seeds: []string{"a2=127.0.1.2:7402"},
	}
}

func TestDefaults(t *testing.T) {
	s := validSettings().WithDefaults()
	qt.Assert(t, s.Check(), qt.HasLen, 0)
	qt.Check(t, s.Callers, qt.Equals, "127.0.1.1:7401")
	qt.Check(t, s.Link, qt.Equals, "127.0.1.1:7402")
	qt.Check(t, s.Admin, qt.Equals, "127.0.1.1:7403")
}

func TestCheckNamesInvalidSetting(t *testing.T) {
	for _, tc := range []struct {
		want string
		edit func(*Settings)
	}{
		{`name: "A 1": ` + ruleName, func(s *Settings) { s.Name = "A 1" }},
		{`centre: "": ` + ruleName, func(s *Settings) { s.Centre = "" }},
		{`region: "-": ` + ruleName, func(s *Settings) { s.Region = "-" }},
		{`address: "0.0.0.0": ` + ruleIP, func(s *Settings) { s.Address = "0.0.0.0" }},
		{`callers: "localhost:80": ` + rulePort, func(s *Settings) { s.Callers = "localhost:80" }},
		{`admin: "127.0.1.1:7402": ` + ruleDistinct, func(s *Settings) { s.Admin = "127.0.1.1:7402" }},
		{`store: "127.0.0.1": ` + ruleStore, func(s *Settings) { s.Store = "127.0.0.1" }},
		{`secret: "5 bytes": ` + ruleSecret, func(s *Settings) { s.Secret = "short" }},
		{`seeds[0]: "127.0.0.1:1": ` + ruleSeed, func(s *Settings) { s.Seeds[0] = "127.0.0.1:1" }},
		{`level: "loud": ` + ruleLevel, func(s *Settings) { s.Level = "loud" }},
	} {
		s := validSettings().WithDefaults()
		tc.edit(&s)
		err := AsInvalidError(s.Check())
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf(tc.want))
		qt.Check(t, coder.Of(err).Code, qt.Equals, coder.BadSettings)
		qt.Check(t, coder.Of(err).Detail, qt.Equals, tc.want)
	}
}
