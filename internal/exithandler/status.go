package exithandler

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// maxStatusBytes bounds the start of a status line that is read for the status.
const maxStatusBytes = 64

// invalidStatusError is the error of a connection on which a target sent a response
// without a valid status.
type invalidStatusError struct {
	// line is the start of the status line.
	line string
}

// Error returns the start of the status line.
func (e *invalidStatusError) Error() string {
	return fmt.Sprintf("no valid status in %.40q", e.line)
}

// statusConn checks the status of each response before net/http reads it. net/http
// returns any status up to 999 as the response and keeps the connection of one from
// 200 on, so that the rest of what the target sends there is taken for the response
// to another call.
type statusConn struct {
	*uploadConn
	// expected is true when a call got the connection and nothing was read since.
	expected atomic.Bool
	check    statusCheck
	// invalid is the error of check, which all further reads return.
	invalid error
}

// checkStatusOn returns a connection to a target that checks responses.
func checkStatusOn(c net.Conn) *statusConn {
	return &statusConn{uploadConn: newUploadConn(c)}
}

// beginCall is called before a call with a body of a length in bytes is sent. The
// next bytes are checked as the start of a response.
func (c *statusConn) beginCall(body int64) {
	c.beginRequest(body)
	c.expected.Store(true)
}

// Read reads from the target. It returns an invalidStatusError instead of the bytes
// that contain an invalid status, and errBrokenRequest instead of the end of a
// response if the call could not be written whole.
func (c *statusConn) Read(b []byte) (int, error) {
	if c.invalid != nil {
		return 0, c.invalid
	}
	n, err := c.Conn.Read(b)
	if n == 0 && c.check.done && !c.expected.Load() && errors.Is(err, io.EOF) {
		return 0, c.checkEnd()
	}
	if n > 0 && c.expected.Swap(false) {
		c.check = statusCheck{}
	}
	if c.invalid = c.check.read(b[:n]); c.invalid != nil {
		return 0, c.invalid
	}
	return n, err
}

// statusCheck finds the status lines in the bytes of a response: those of any number
// of interim responses, and that of the final one, which ends the check. The zero
// value is the state before the first byte.
type statusCheck struct {
	done, inFields bool
	// line is the start of the present line, of up to maxStatusBytes.
	line []byte
}

// read continues with the next bytes and returns an error for an invalid status.
func (s *statusCheck) read(b []byte) error {
	for !s.done {
		part, rest, ended := bytes.Cut(b, []byte("\n"))
		s.line = append(s.line, part[:min(len(part), maxStatusBytes-len(s.line))]...)
		if !ended {
			return nil
		}
		line := bytes.TrimSuffix(s.line, []byte("\r"))
		s.line, b = s.line[:0], rest
		if s.inFields {
			s.inFields = len(line) > 0
			continue
		}
		status, ok := parseStatus(string(line))
		if !ok {
			return &invalidStatusError{line: string(line)}
		}
		s.done = messenger.EndsRequest(status)
		s.inFields = !s.done
	}
	return nil
}

// parseStatus returns the status of a status line, and whether it is that of a final
// or of an interim response. A 101 is neither, since nodes ask for no upgrade.
func parseStatus(line string) (status int, ok bool) {
	version, rest, _ := strings.Cut(line, " ")
	digits, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	if !strings.HasPrefix(version, "HTTP/") || len(digits) != 3 || strings.Trim(digits, "0123456789") != "" {
		return 0, false
	}
	status, err := strconv.Atoi(digits)
	interim := status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
	return status, err == nil && (interim || messenger.EndsRequest(status))
}
