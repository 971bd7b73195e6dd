package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/logger"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
)

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fillTemplate fills in the platform's template of the settings as far as it
// uses single values: sections of missing values are left out.
func fillTemplate(t *testing.T, values map[string]string) string {
	b, err := os.ReadFile("../../deploy/settings.json")
	qt.Assert(t, err, qt.IsNil)
	text := section.ReplaceAllStringFunc(string(b), func(s string) string {
		m := section.FindStringSubmatch(s)
		if _, ok := values[m[1]]; !ok {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		return values[strings.Trim(s, "{}")]
	})
}

// TestDeployedSettings starts a node with settings from the deployed template,
// whose bounds may be fractions, zero, very large or missing.
func TestDeployedSettings(t *testing.T) {
	bounds := []string{"bounds.floorShare", "heartbeatMs", "bounds.graceS", "bounds.retrySlack", "bounds.quotaSlack"}
	for _, tc := range []struct {
		name   string
		bounds []string
		want   settingsloader.Settings
	}{
		{"whole", []string{"0.7", "1500", "6", "630", "20"}, settingsloader.Settings{Floor: 0.7, Beat: 1500, Grace: 6, Slack: 630, Excess: 20}},
		{"fractions", []string{"0.5", "1500.5", "0.5", "25.2", "0.8"}, settingsloader.Settings{Floor: 0.5, Beat: 1500.5, Grace: 0.5, Slack: 25.2, Excess: 0.8}},
		{"zero", []string{"0", "0", "0", "0", "0"}, settingsloader.Settings{}},
		{"very large", []string{"1", "86400000", "86400", "1e9", "1000000000"}, settingsloader.Settings{Floor: 1, Beat: 86_400_000, Grace: 86_400, Slack: 1e9, Excess: 1e9}},
		{"missing", nil, settingsloader.Settings{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			values := map[string]string{
				"node": "sidecar-a-1", "zone": "a", "region": "west", "ip": "10.1.0.5", "listen.outbound": "10.1.0.5:8402",
				"portRange.0": "7660", "portRange.1": "7675", "listen.ready": "10.1.0.5:8406", "listen.control": "10.1.0.5:8407",
				"service": "shop", "appAddr": "10.1.0.5:8403", "platform.address": "10.200.1.7:8408",
			}
			for i, value := range tc.bounds {
				values[bounds[i]] = value
			}
			got, err := startWithSettings(t, fillTemplate(t, values))
			qt.Assert(t, err, qt.Equals, "")
			qt.Check(t, settingsloader.Settings{Floor: got.Floor, Beat: got.Beat, Grace: got.Grace, Slack: got.Slack, Excess: got.Excess}, qt.DeepEquals, tc.want)
		})
	}
}

func TestUnreadableNumberIsNamed(t *testing.T) {
	_, err := startWithSettings(t, `{"name": "a1", "slack": "many"}`)
	qt.Check(t, err, qt.Contains, `slack`)
	qt.Check(t, err, qt.Contains, `"many" is not a number`)
}

// startWithSettings runs the node command on a settings file, and returns the
// settings that the node started with and what was written to standard error.
func startWithSettings(t *testing.T, text string) (started settingsloader.Settings, stderr string) {
	name := filepath.Join(t.TempDir(), "settings.json")
	qt.Assert(t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	qt.Assert(t, json.Valid([]byte(text)), qt.IsTrue, qt.Commentf("%s", text))
	var errs strings.Builder
	c := &Commander{In: strings.NewReader(""), Out: io.Discard, Err: &errs, RunNode: func(_ context.Context, live *settingsloader.Live, _ *logger.Logger) error {
		started = live.Current()
		return nil
	}}
	if code := c.Run(t.Context(), []string{"node", "--settings", name}); code != 0 && errs.Len() == 0 {
		_, _ = fmt.Fprintf(&errs, "exit code %d", code)
	}
	return started, errs.String()
}
