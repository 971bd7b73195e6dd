package exithandler

import (
	"net/http"
	"sort"
	"strings"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// reservedPrefix begins the names of header fields that only the fleet may set.
const reservedPrefix = "Zinnia-"

// EndToEndFields returns the header fields to forward, sorted by name. It leaves
// out hop-by-hop fields, Content-Length and fields that only the fleet may set.
func (d *Dialect) EndToEndFields(h http.Header) []messenger.Field {
	excluded := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			excluded[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for _, name := range d.reservedHeaders() {
		excluded[http.CanonicalHeaderKey(name)] = true
	}
	var out []messenger.Field
	for name, values := range h {
		if hopByHopHeaders[name] || excluded[name] || strings.HasPrefix(name, reservedPrefix) || name == "Content-Length" {
			continue
		}
		for _, v := range values {
			out = append(out, messenger.Field{Name: name, Value: v})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
