package exithandler

import (
	"math"
	"net/http"
	"strconv"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// statement returns what a response states about its target. Values that are
// not valid state nothing.
func (d *Dialect) statement(h http.Header) messenger.Statement {
	s := messenger.Statement{Leaving: d.LeavingHeader != "" && h.Get(d.LeavingHeader) == "1"}
	if d.RateHeader == "" || h.Get(d.RateHeader) == "" {
		return s
	}
	perSecond, err := strconv.ParseFloat(h.Get(d.RateHeader), 64)
	if err == nil && perSecond >= 0 && !math.IsInf(perSecond, 1) {
		s.Limited, s.Rate = true, perSecond
	}
	return s
}
