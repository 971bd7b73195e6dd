package demonstrator

import (
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/loadgenerator"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// checkGuarantees records the guarantees that cover the whole run.
func (s *scenario) checkGuarantees(report *loadgenerator.Report, took time.Duration) {
	outcomes := s.outcomes()
	s.guarantees.add("each caller gets its own whole answer", report.All.Answered, report.All.Truncated+report.All.Wrong, "")
	nonIdempotent, notRun := 0, 0
	for _, o := range outcomes {
		if o.CallIndex == bookingsCall || o.CallIndex == paymentsCall {
			nonIdempotent++
		}
		if o.Kind == loadgenerator.Refused && o.Ran == coder.RanNo {
			notRun++
		}
	}
	s.guarantees.add("a non-idempotent call runs at most once", nonIdempotent, report.DuplicateRuns, "")
	s.guarantees.add("a refusal that says \"not run\" is true", notRun, report.FalseNotRun, "")
	s.guarantees.add("no target sees a key", report.Sent, report.LeakedKeys, "")
	s.checkRateLimit(outcomes, took)
	s.checkRateRefusals(outcomes)
}

// requestsPerAllowedRefusal bounds wrong refusals: while nodes start and stop,
// one in this many requests of a workspace within its rate may be refused for
// the rate.
const requestsPerAllowedRefusal = 1_000

// checkRateRefusals records how many requests of the club, which stays within
// its rate, were refused for the rate.
func (s *scenario) checkRateRefusals(outcomes []loadgenerator.Outcome) {
	sent, refused := 0, 0
	for _, o := range outcomes {
		if o.CallIndex == catalogueCall || o.CallIndex == shopCall {
			continue
		}
		sent++
		if o.Kind == loadgenerator.Refused && (o.Code == coder.RateExceeded || o.Code == coder.LimitUnavailable) {
			refused++
		}
	}
	s.guarantees.add("a workspace within its rate is not refused for it", sent, max(refused-sent/requestsPerAllowedRefusal, 0),
		"%d were refused, 1 in %d is allowed", refused, requestsPerAllowedRefusal)
}

// checkRateLimit records by how many the shop's admitted requests exceed its
// rate and burst.
func (s *scenario) checkRateLimit(outcomes []loadgenerator.Outcome, took time.Duration) {
	sent, admitted := 0, 0
	for _, o := range outcomes {
		if o.CallIndex != shopCall {
			continue
		}
		sent++
		if o.Kind != loadgenerator.Refused || o.Ran != coder.RanNo {
			admitted++
		}
	}
	allowed := int(shopRatePerSecond*took.Seconds()) + shopBurst
	s.guarantees.add("a workspace gets no more than its rate and burst", sent, max(admitted-allowed, 0),
		"%d were admitted, %d allowed", admitted, allowed)
}
