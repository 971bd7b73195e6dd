package entryhandler

import (
	"encoding/json"
	"io"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// writeRefusal writes the JSON body of a refusal. Write errors are ignored: the
// caller has disconnected.
func writeRefusal(w io.Writer, result coder.Result, e *coder.Error) {
	_ = json.NewEncoder(w).Encode(struct {
		Code   coder.Code `json:"code"`
		Name   string     `json:"name"`
		Ran    coder.Ran  `json:"ran"`
		Text   string     `json:"text"`
		Detail string     `json:"detail,omitempty"`
		After  int64      `json:"after,omitempty"` // milliseconds
	}{result.Code, result.Name, result.Ran, result.Text, e.Detail, e.After.Milliseconds()})
}
