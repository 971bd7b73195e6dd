package detector

import (
	"testing"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// BenchmarkAttempt tracks one attempt from start to end.
func BenchmarkAttempt(b *testing.B) {
	d := &Detector{}
	d.Watch(messenger.Target{Name: "t"}, 1)
	b.ReportAllocs()
	for b.Loop() {
		d.Start("t").Done(Good)
	}
}

// BenchmarkQueryEncoding encodes a query and its reply, and reports their size.
func BenchmarkQueryEncoding(b *testing.B) {
	size := 0
	for b.Loop() {
		size = len(messenger.Encode(&Query{Target: "booking@10.20.30.40:8080"})) +
			len(messenger.Encode(&Reply{Count: 12, Median: 50e6, UpperQuartile: 70e6, FailRate: 0.0625}))
	}
	b.ReportMetric(float64(size), "bytes")
}
