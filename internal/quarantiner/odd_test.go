package quarantiner

import (
	"bytes"
	"math"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Guards against one odd entry among the quarantines in the store that ends the
// processes which read them, costs them their memory, or keeps a request in
// quarantine for good.
func TestOddQuarantinesAreIgnored(t *testing.T) {
	run(t, 3, func(t *testing.T, f *fleet) {
		call := &messenger.Call{URI: "/any"}
		var future []Report
		for i := range int64(5) {
			future = append(future, Report{ID: uint64(i + 1), Time: math.MaxInt64/2 + i*1000, Requests: []messenger.Fingerprint{call.Fingerprint()}})
		}
		for key, value := range map[string][]byte{
			"text": []byte("{}"), "nested": bytes.Repeat([]byte{0x91}, 1<<20), "long": {0xdd, 0xff, 0xff, 0xff, 0xff, 0x94}, "future": messenger.Encode(future),
		} {
			_, err := f.store.Client().Swap(t.Context(), KeyPrefix+key, value, 0, "")
			qt.Assert(t, err, qt.IsNil)
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		f.restartAll(t)
		time.Sleep(10 * time.Second)
		runtime.ReadMemStats(&after)
		qt.Check(t, (after.TotalAlloc-before.TotalAlloc)>>20 < 64, qt.IsTrue, qt.Commentf("%d MB allocated", (after.TotalAlloc-before.TotalAlloc)>>20))
		qt.Check(t, f.admitting(call), qt.Equals, 3)
	})
}
