package messenger

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies what a request asks for: its workspace, method, host,
// path, query and body. All repeats of a request share it, at any node.
type Fingerprint uint64

// String returns the form used in events.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 36) }

// ParseFingerprint returns the fingerprint of a form used in events.
func ParseFingerprint(s string) (Fingerprint, error) {
	n, err := strconv.ParseUint(s, 36, 64)
	return Fingerprint(n), err
}

// Fingerprint returns the fingerprint of the call's request.
func (c *Call) Fingerprint() Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{c.Workspace, c.Method, c.Host, c.URI} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.WriteString("\n")
	}
	_, _ = d.Write(c.Body) // never fails
	return Fingerprint(d.Sum64())
}
