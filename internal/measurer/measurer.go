// Package measurer keeps a node's metrics: counters of what happened, gauges of
// what is, and histograms of times. Table names all of them.
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
	// sampleSize and sampleAlpha make a histogram's quantiles those of about the
	// last five minutes, within a few percent; they are the values that the
	// library recommends.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Measurer holds the metrics of one node. Make it by New.
type Measurer struct {
	// Registry has all metrics by the names of Table.
	Registry metrics.Registry

	request, attempt, link, queue, target, store metrics.Histogram
}

// New returns a measurer whose histograms are empty.
func New() *Measurer {
	m := &Measurer{Registry: metrics.NewRegistry()}
	times := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, m.Registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	m.request, m.attempt, m.link = times("request.took"), times("attempt.took"), times("link.took")
	m.queue, m.target, m.store = times("queue.took"), times("target.took"), times("store.took")
	return m
}

// Request notes a request that ended at this entry.
func (m *Measurer) Request(c coder.Code, took time.Duration) {
	m.count("request.code." + coder.Lookup(c).Name)
	m.request.Update(took.Microseconds())
}

// Attempt notes an answer of an exit node: how long the attempt took here, and
// how much of that the call spent at the exit. link tells that the exit is
// another node.
func (m *Measurer) Attempt(took, spent time.Duration, link bool) {
	m.attempt.Update(took.Microseconds())
	if link {
		m.link.Update(max(took-spent, 0).Microseconds())
	}
}

// Queue notes a call that got a slot of its target, or was refused one.
func (m *Measurer) Queue(waited time.Duration) { m.queue.Update(waited.Microseconds()) }

// Target notes how a call ended at a target of this node, and when the head of
// its answer came.
func (m *Measurer) Target(result string, took time.Duration) {
	m.count("target.result." + strings.ReplaceAll(result, " ", "-"))
	m.target.Update(took.Microseconds())
}

// StoreCall notes a call to the platform's store. Calls that wait for a change
// by design have no time.
func (m *Measurer) StoreCall(kind string, begun time.Time, err error) {
	outcome := "good"
	switch {
	case errors.Is(err, storer.ErrConflict):
		outcome = "conflict"
	case errors.Is(err, context.Canceled):
		outcome = "canceled"
	case err != nil:
		outcome = "failed"
	}
	m.count("store." + kind + "." + outcome)
	if kind != "watch" {
		m.store.Update(time.Since(begun).Microseconds())
	}
}

// Store returns the store with its calls counted.
func (m *Measurer) Store(s *storer.Store) *storer.Store {
	return &storer.Store{
		Get: func(ctx context.Context, key string) (e storer.Entry, err error) {
			defer func(begun time.Time) { m.StoreCall("get", begun, err) }(time.Now())
			return s.Get(ctx, key)
		},
		Swap: func(ctx context.Context, key string, value []byte, version uint64, lease string) (v uint64, err error) {
			defer func(begun time.Time) { m.StoreCall("swap", begun, err) }(time.Now())
			return s.Swap(ctx, key, value, version, lease)
		},
		List: func(ctx context.Context, prefix string) (es []storer.Entry, err error) {
			defer func(begun time.Time) { m.StoreCall("list", begun, err) }(time.Now())
			return s.List(ctx, prefix)
		},
		Watch: func(ctx context.Context, key string, version uint64, wait time.Duration) (e storer.Entry, err error) {
			defer func(begun time.Time) { m.StoreCall("watch", begun, err) }(time.Now())
			return s.Watch(ctx, key, version, wait)
		},
		Lease: func(ctx context.Context, id string, ttl time.Duration) (err error) {
			defer func(begun time.Time) { m.StoreCall("lease", begun, err) }(time.Now())
			return s.Lease(ctx, id, ttl)
		},
	}
}

// Gauge registers a value that is read when somebody asks for it.
func (m *Measurer) Gauge(name string, value func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, m.Registry, value)
}

func (m *Measurer) count(name string) { metrics.GetOrRegisterCounter(name, m.Registry).Inc(1) }
