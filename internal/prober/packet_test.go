package prober

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Guards against a fleet that falls apart while it is upgraded: processes reject
// packets with another number of fields than theirs.
func TestPacketsHaveAFixedNumberOfFields(t *testing.T) {
	const fixArray14 = 0x9e
	q := packet{Kind: gossip}
	q.setNumbers(Numbers{ConfigNumber: 1, SharesNumber: 2, EraNumber: 3, ConfigOverflow: 4})
	encoded := messenger.Encode(&q)
	qt.Check(t, encoded[0], qt.Equals, byte(fixArray14))
	var decoded packet
	qt.Assert(t, messenger.Decode(encoded, &decoded), qt.IsNil)
	qt.Check(t, decoded.numbers(), qt.Equals, Numbers{ConfigNumber: 1, SharesNumber: 2, EraNumber: 3, ConfigOverflow: 4})
}
