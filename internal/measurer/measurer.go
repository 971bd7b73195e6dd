// Package measurer keeps a node's metrics: counters of events, gauges of current
// values, and histograms of durations. Table lists all of them.
package measurer

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// sampleSize and sampleAlpha make a histogram's quantiles cover about the
	// last five minutes, with an error of a few percent. The library recommends
	// these values.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Measurer holds the metrics of one node. Create it with New.
type Measurer struct {
	// Registry holds all metrics under the names in Table.
	Registry metrics.Registry

	request, attempt, link, queue, target, store metrics.Histogram
}

// New returns a measurer with empty histograms.
func New() *Measurer {
	m := &Measurer{Registry: metrics.NewRegistry()}
	newHistogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, m.Registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	m.request, m.attempt, m.link = newHistogram("request.took"), newHistogram("attempt.took"), newHistogram("link.took")
	m.queue, m.target, m.store = newHistogram("queue.took"), newHistogram("target.took"), newHistogram("store.took")
	return m
}

// Request records a request that ended at this entry node.
func (m *Measurer) Request(c coder.Code, took time.Duration) {
	m.increment("request.code." + coder.Lookup(c).Name)
	m.request.Update(took.Microseconds())
}

// Attempt records a response from an exit node: how long the attempt took here,
// and how much of that the call spent at the exit node. remote means that the
// exit node is another node.
func (m *Measurer) Attempt(took, atExit time.Duration, remote bool) {
	m.attempt.Update(took.Microseconds())
	if remote {
		m.link.Update(max(took-atExit, 0).Microseconds())
	}
}

// Queue records how long a call waited for a slot of its target, whether it got
// one or was refused.
func (m *Measurer) Queue(waited time.Duration) { m.queue.Update(waited.Microseconds()) }

// Target records how a call ended at a target of this node, and the time until
// the response head arrived.
func (m *Measurer) Target(result string, took time.Duration) {
	m.increment("target.result." + strings.ReplaceAll(result, " ", "-"))
	m.target.Update(took.Microseconds())
}

// Refused counts n clients that were refused or disconnected in a way.
func (m *Measurer) Refused(kind string, n int64) {
	metrics.GetOrRegisterCounter("clients.refused."+kind, m.Registry).Inc(n)
}

// StoreCall records a call to the platform's store. The duration of watches is
// not recorded, as they wait for a change by design.
func (m *Measurer) StoreCall(kind string, start time.Time, err error) {
	outcome := "good"
	switch {
	case errors.Is(err, storer.ErrConflict):
		outcome = "conflict"
	case errors.Is(err, context.Canceled):
		outcome = "canceled"
	case err != nil:
		outcome = "failed"
	}
	m.increment("store." + kind + "." + outcome)
	if kind != "watch" {
		m.store.Update(time.Since(start).Microseconds())
	}
}

// InstrumentStore returns a store that records each call to s.
func (m *Measurer) InstrumentStore(s *storer.Store) *storer.Store {
	return &storer.Store{
		Eras: s.Eras,
		Get: func(ctx context.Context, key string) (e storer.Entry, err error) {
			defer func(start time.Time) { m.StoreCall("get", start, err) }(time.Now())
			return s.Get(ctx, key)
		},
		Swap: func(ctx context.Context, key string, value []byte, version uint64, lease string) (v uint64, err error) {
			defer func(start time.Time) { m.StoreCall("swap", start, err) }(time.Now())
			return s.Swap(ctx, key, value, version, lease)
		},
		List: func(ctx context.Context, prefix string) (es []storer.Entry, err error) {
			defer func(start time.Time) { m.StoreCall("list", start, err) }(time.Now())
			return s.List(ctx, prefix)
		},
		Watch: func(ctx context.Context, key string, version uint64, wait time.Duration) (e storer.Entry, err error) {
			defer func(start time.Time) { m.StoreCall("watch", start, err) }(time.Now())
			return s.Watch(ctx, key, version, wait)
		},
		Lease: func(ctx context.Context, id string, ttl time.Duration) (err error) {
			defer func(start time.Time) { m.StoreCall("lease", start, err) }(time.Now())
			return s.Lease(ctx, id, ttl)
		},
	}
}

// Gauge registers a gauge whose value is computed on each read.
func (m *Measurer) Gauge(name string, value func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, m.Registry, value)
}

func (m *Measurer) increment(name string) { metrics.GetOrRegisterCounter(name, m.Registry).Inc(1) }
