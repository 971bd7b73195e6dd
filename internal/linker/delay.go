package linker

import "time"

// maxClockDriftPPM bounds the drift between the clocks of two nodes, in parts per
// million.
const maxClockDriftPPM = 200

// delayMeter measures how much longer a frame took than the fastest frame of the
// link, from the clocks of both sides. The minimum offset is raised over time by
// the maximum clock drift.
type delayMeter struct {
	// minOffset is the smallest difference of the two clocks in a frame, and
	// minOffsetAt the receiver's clock when it was observed.
	minOffset, minOffsetAt time.Duration
	observed               bool
}

// observe returns the excess delay of a frame that was received at now by the
// receiver's clock and sent at sent by the sender's clock.
func (d *delayMeter) observe(now, sent time.Duration) time.Duration {
	offset := now - sent
	allowed := d.minOffset + (now-d.minOffsetAt)*maxClockDriftPPM/1_000_000
	if !d.observed || offset <= allowed {
		d.minOffset, d.minOffsetAt, d.observed = offset, now, true
		return 0
	}
	return offset - allowed
}
