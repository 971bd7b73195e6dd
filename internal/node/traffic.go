package node

import (
	"context"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// trafficLogInterval is the interval at which a node logs its traffic totals.
const trafficLogInterval = 10 * time.Second

// trafficMetrics are the prefixes of the metrics that the totals consist of.
var trafficMetrics = []string{"link.sent.", "link.crossing.", "prober.sent", "prober.crossing", "store."}

// logTraffic logs what the node has sent to other nodes and to the store since
// its start, until ctx ends: the line says, of a time past, which exchange took
// the bytes and the calls.
func (n *Node) logTraffic(ctx context.Context) error {
	ticker := time.NewTicker(trafficLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.Platform.Log.Info("traffic", "totals", n.trafficTotals())
		}
	}
}

// trafficTotals returns the counters that are not 0, by metric.
func (n *Node) trafficTotals() map[string]int64 {
	totals := map[string]int64{}
	n.Measurer.Registry.Each(func(name string, metric any) {
		value := int64(0)
		switch m := metric.(type) {
		case metrics.Counter:
			value = m.Count()
		case metrics.Gauge:
			value = m.Value()
		}
		for _, prefix := range trafficMetrics {
			if value != 0 && strings.HasPrefix(name, prefix) {
				totals[name] = value
			}
		}
	})
	return totals
}
