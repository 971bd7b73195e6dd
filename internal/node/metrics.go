package node

import (
	"runtime/metrics"

	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/gossiper"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/measurer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
)

func newMeasurer(p Platform) *measurer.Measurer {
	if p.Measurer != nil {
		return p.Measurer
	}
	return measurer.New()
}

// registerMetrics registers the gauges of all components.
func registerMetrics(c components) {
	m := c.Measurer
	registerLinkMetrics(m, c.Linker, c.Prober)
	registerTargetMetrics(m, c.Gossiper)
	registerQueueMetrics(m, c.Admitter)
	m.Gauge("targets.limited", func() int64 { return int64(c.Admitter.LimitedTargets()) })
	m.Gauge("requests.quarantined", func() int64 { return int64(len(c.Quarantiner.Entries())) })
	m.Gauge("targets.crashed", c.CrashWatcher.Crashes)
	m.Gauge("queue.waiting", func() int64 { return int64(c.Admitter.Loads().Queue) })
	m.Gauge("queue.flying", func() int64 { return int64(c.Admitter.Loads().InFlight) })
	m.Gauge("nodes.alive", func() int64 { return int64(len(c.Prober.Alive())) })
	m.Gauge("configuration.number", func() int64 { return configurationNumber(c.Configurer) })
	m.Gauge("retry.sent", func() int64 { c := c.Retrier.Counts(); return c.Attempts - c.Requests })
	m.Gauge("retry.hedges", func() int64 { return c.Retrier.Counts().Hedges })
	m.Gauge("retry.denied", func() int64 { return c.Retrier.Counts().Denied })
	m.Gauge("retry.redirects", func() int64 { return c.Retrier.Counts().Redirects })
	m.Gauge("retry.left", func() int64 { return int64(c.Retrier.Budget()) })
	m.Gauge("process.memory", processMemory)
	m.Gauge("account.used", c.Account.Used)
	m.Gauge("account.waiting", func() int64 { return int64(c.Account.Waiting()) })
	if c.Platform.DroppedLogLines != nil {
		m.Gauge("log.dropped", c.Platform.DroppedLogLines)
	}
}

func configurationNumber(cfg *configurer.Configurer) int64 {
	if index := cfg.Index(); index != nil {
		return int64(index.Number)
	}
	return 0
}

// registerLinkMetrics registers the gauges of links and heartbeats.
func registerLinkMetrics(m *measurer.Measurer, l *linker.Linker, p *prober.Prober) {
	for method, name := range linker.MethodNames() {
		m.Gauge("link.sent."+name, func() int64 { sent, _ := l.Traffic(method); return sent })
		m.Gauge("link.crossing."+name, func() int64 { return l.CrossingTraffic(method) })
		m.Gauge("link.received."+name, func() int64 { _, received := l.Traffic(method); return received })
	}
	m.Gauge("prober.sent", func() int64 { return int64(p.Counts().SentBytes) })
	m.Gauge("prober.crossing", func() int64 { return int64(p.Counts().CrossingBytes) })
	m.Gauge("prober.received", func() int64 { return int64(p.Counts().ReceivedBytes) })
	m.Gauge("prober.rejected", func() int64 { return int64(p.Counts().Rejected) })
	m.Gauge("prober.suspicions", func() int64 { return int64(p.Counts().Suspicions) })
}

func registerTargetMetrics(m *measurer.Measurer, g *gossiper.Gossiper) {
	m.Gauge("targets.known", func() int64 { return int64(len(g.Targets(""))) })
	m.Gauge("targets.sound", func() int64 {
		sound := int64(0)
		for _, t := range g.Targets("") {
			if t.Trust == messenger.Sound {
				sound++
			}
		}
		return sound
	})
}

// totalMemoryMetric names the memory that the Go runtime has from the operating
// system, in bytes.
const totalMemoryMetric = "/memory/classes/total:bytes"

func processMemory() int64 {
	sample := []metrics.Sample{{Name: totalMemoryMetric}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
