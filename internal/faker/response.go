package faker

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ErrTruncated is returned by CheckResponse for a body that is not complete
// JSON.
var ErrTruncated = errors.New("faker: truncated response")

// Response is the body of a fake target's response. It echoes the request, so
// that a caller can detect a truncated response or one to another request.
type Response struct {
	// Target is the name of the target that responded.
	Target string `json:"target"`
	// Request is the ID that the fleet gave the request, Token the caller's ID.
	Request string `json:"request"`
	Token   string `json:"token"`
	// Workspace is the workspace that the request ran for.
	Workspace string `json:"workspace"`
	// Body is the digest of the request body.
	Body string `json:"body"`
	// Data is padding of the requested size.
	Data string `json:"data,omitempty"`
	// Sum is the digest of all other fields.
	Sum string `json:"sum"`
}

func digest(s string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(s))
}

func (r Response) checksum() string {
	return digest(strings.Join([]string{r.Target, r.Request, r.Token, r.Workspace, r.Body, r.Data}, "\n"))
}

// withChecksum returns the response with Sum set.
func (r Response) withChecksum() Response {
	r.Sum = r.checksum()
	return r
}

// CheckResponse decodes a response body. It returns an error if the body is not
// the complete response to the request with that token, workspace and request
// body, and one that wraps ErrTruncated if it is not complete JSON.
func CheckResponse(body []byte, token, workspace, requestBody string) (Response, error) {
	var r Response
	if err := json.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if r.Sum != r.checksum() {
		return r, fmt.Errorf("faker: checksum mismatch in response of %s", r.Target)
	}
	if r.Token != token || r.Workspace != workspace || r.Body != digest(requestBody) {
		return r, fmt.Errorf("faker: answer of %s is for token %q of workspace %q", r.Target, r.Token, r.Workspace)
	}
	return r, nil
}
