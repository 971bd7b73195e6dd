package quarantiner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/zinniaproxy/zinniaproxy/internal/crashwatcher"
	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/sampler"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// fleet is quarantiners that reach each other unless they are cut off.
type fleet struct {
	store *faker.Store
	// reads counts the reads of the store by all nodes.
	reads atomic.Int64
	names map[string][]string
	stops []context.CancelFunc

	mu    sync.Mutex
	nodes map[string]*Quarantiner
	cut   map[string]bool
}

// reach returns the node that a query goes to, or an error if it is cut off.
func (f *fleet) reach(from, to string) (*Quarantiner, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[from] || f.cut[to] {
		return nil, errors.New("cut off")
	}
	return f.nodes[to], nil
}

func (f *fleet) setCut(name string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[name] = cut
}

func startFleet(t *testing.T, size int) *fleet {
	f := &fleet{store: faker.NewStore(), names: map[string][]string{}, nodes: map[string]*Quarantiner{}, cut: map[string]bool{}}
	for i := range size {
		centre := fmt.Sprintf("c%d", i%3)
		f.names[centre] = append(f.names[centre], fmt.Sprintf("n%d", i))
	}
	f.startAll(t)
	time.Sleep(5 * time.Second)
	return f
}

func (f *fleet) startAll(t *testing.T) {
	for centre, names := range f.names {
		for _, name := range names {
			f.start(t, name, centre)
		}
	}
}

// restartAll stops all nodes, and starts them once all have stopped.
func (f *fleet) restartAll(t *testing.T) {
	f.close()
	f.startAll(t)
}

func (f *fleet) start(t *testing.T, name, centre string) {
	q := &Quarantiner{
		Sampler: &sampler.Sampler{Node: name, Centre: centre, Alive: func() map[string][]string { return f.names }},
		SendQuery: func(ctx context.Context, node string, query *Query) (*Reply, error) {
			time.Sleep(time.Millisecond)
			peer, err := f.reach(name, node)
			if err != nil {
				return nil, err
			}
			return peer.Handle(ctx, name, query)
		},
		Store: f.store.Client(), Log: logr.Discard(),
	}
	q.Store.Eras.OnAdvance = func(_, era uint64) { f.noteEra(era) }
	list := q.Store.List
	q.Store.List = func(ctx context.Context, prefix string) ([]storer.Entry, error) {
		f.reads.Add(1)
		return list(ctx, prefix)
	}
	f.mu.Lock()
	f.nodes[name] = q
	f.mu.Unlock()
	ctx, stop := context.WithCancel(t.Context())
	f.stops = append(f.stops, stop)
	go func() { _ = q.Run(ctx) }()
}

// noteEra tells all nodes an era of the store, as heartbeats do.
func (f *fleet) noteEra(era uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, q := range f.nodes {
		go q.NoteEra(era)
	}
}

func (f *fleet) close() {
	for _, stop := range f.stops {
		stop()
	}
	time.Sleep(2 * queryTimeout)
}

// crash reports three crashes under a call, at different nodes.
func (f *fleet) crash(c *messenger.Call) {
	for i := range 3 {
		time.Sleep(100 * time.Millisecond)
		f.nodes[fmt.Sprintf("n%d", i)].ReportCrash(crashwatcher.Crash{Time: time.Now(), Requests: []messenger.Fingerprint{c.Fingerprint()}})
	}
}

// admitting returns how many nodes would send a call.
func (f *fleet) admitting(c *messenger.Call) (n int) {
	for _, q := range f.nodes {
		if err := q.Admit(c); err == nil {
			n++
		} else if e := coder.Of(err); e.Code != coder.Quarantined || e.Ran() != coder.RanNo {
			n = -1000
		}
	}
	return n
}

func run(t *testing.T, size int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, size)
		defer f.close()
		test(t, f)
	})
}

// Guards against a large fleet in which some nodes go on sending a request that is
// known to crash targets: all know it within a second.
func TestAllNodesRefuseWithinASecond(t *testing.T) {
	run(t, 300, func(t *testing.T, f *fleet) {
		t.Logf("%d reads of the store", f.reads.Load())
		qt.Check(t, f.reads.Load() <= 3*readsPerInterval, qt.IsTrue, qt.Commentf("%d reads of the store", f.reads.Load()))
		fatal, other := &messenger.Call{URI: "/fatal"}, &messenger.Call{URI: "/other"}
		f.crash(fatal)
		time.Sleep(time.Second)
		qt.Check(t, f.admitting(fatal), qt.Equals, 0)
		qt.Check(t, f.admitting(other), qt.Equals, 300)
	})
}

// Guards against a fleet that forgets: a node that was cut off, one that was
// restarted, and all of them after a restart learn what is in quarantine.
func TestNodesLearnOfQuarantines(t *testing.T) {
	run(t, 30, func(t *testing.T, f *fleet) {
		fatal := &messenger.Call{URI: "/fatal"}
		f.setCut("n9", true)
		f.crash(fatal)
		time.Sleep(time.Second)
		qt.Check(t, f.admitting(fatal), qt.Equals, 1)
		f.setCut("n9", false)
		f.start(t, "n4", "c1")
		time.Sleep(5 * time.Second)
		qt.Check(t, f.admitting(fatal), qt.Equals, 0)
		f.store.SetFaults(faker.StoreFaults{Down: true})
		f.restartAll(t)
		time.Sleep(5 * time.Second)
		f.store.SetFaults(faker.StoreFaults{})
		time.Sleep(5 * time.Second)
		qt.Check(t, f.admitting(fatal), qt.Equals, 0)
	})
}

// After a quarantine one node lets one call through, on which the next one
// depends: a crash renews it, a response ends it.
func TestOneTrialDecidesOnNextQuarantine(t *testing.T) {
	run(t, 9, func(t *testing.T, f *fleet) {
		fatal := &messenger.Call{URI: "/fatal"}
		f.crash(fatal)
		time.Sleep(firstQuarantine + time.Second)
		qt.Check(t, f.admitting(fatal), qt.Equals, 1)
		qt.Check(t, f.admitting(fatal), qt.Equals, 0)
		f.nodes["n7"].ReportCrash(crashwatcher.Crash{Time: time.Now(), Requests: []messenger.Fingerprint{fatal.Fingerprint()}})
		time.Sleep(quarantineFactor * firstQuarantine / 2)
		qt.Check(t, f.admitting(fatal), qt.Equals, 0)
		time.Sleep(quarantineFactor * firstQuarantine / 2)
		qt.Check(t, f.admitting(fatal), qt.Equals, 1)
		f.nodes["n8"].Completed(fatal)
		time.Sleep(time.Second)
		qt.Check(t, f.admitting(fatal), qt.Equals, 9)
	})
}

// Guards against a request that stays refused although an operator released it: it
// is free on all nodes within a second, also on one that joins and after a restart
// of all, and in the store, which was down meanwhile. Three more crashes put it back.
func TestReleasedRequestIsFree(t *testing.T) {
	run(t, 9, func(t *testing.T, f *fleet) {
		fatal, other := &messenger.Call{URI: "/fatal"}, &messenger.Call{URI: "/other"}
		f.crash(fatal)
		f.crash(other)
		time.Sleep(5 * time.Second)
		qt.Check(t, f.nodes["n5"].Entries(), qt.HasLen, 2)
		qt.Check(t, f.nodes["n5"].Release((&messenger.Call{URI: "/unknown"}).Fingerprint()), qt.IsFalse)
		f.store.SetFaults(faker.StoreFaults{Down: true})
		qt.Check(t, f.nodes["n5"].Release(fatal.Fingerprint()), qt.IsTrue)
		time.Sleep(time.Second)
		qt.Check(t, f.admitting(fatal), qt.Equals, 9)
		qt.Check(t, f.admitting(other), qt.Equals, 0)
		qt.Check(t, f.nodes["n5"].Release(fatal.Fingerprint()), qt.IsFalse)
		f.start(t, "n4", "c1")
		time.Sleep(5 * time.Second)
		qt.Check(t, f.admitting(fatal), qt.Equals, 9)

		f.store.SetFaults(faker.StoreFaults{})
		time.Sleep(2 * maxStoreInterval)
		f.restartAll(t)
		time.Sleep(5 * time.Second)
		qt.Check(t, f.admitting(fatal), qt.Equals, 9)
		qt.Check(t, f.admitting(other), qt.Equals, 0)
		f.crash(fatal)
		time.Sleep(time.Second)
		qt.Check(t, f.admitting(fatal), qt.Equals, 0)
	})
}

// Guards against a released request that is refused again without a further crash:
// reports that it shares with a request in quarantine outlast the usual time, and
// so must its release.
func TestReleaseOutlastsSharedReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &Quarantiner{Sampler: &sampler.Sampler{Node: "n", Alive: func() map[string][]string { return nil }}}
		fatal, other := &messenger.Call{URI: "/fatal"}, &messenger.Call{URI: "/other"}
		for range 3 {
			time.Sleep(time.Second)
			q.ReportCrash(crashwatcher.Crash{Time: time.Now(), Requests: []messenger.Fingerprint{fatal.Fingerprint(), other.Fingerprint()}})
		}
		time.Sleep(time.Minute)
		qt.Check(t, q.Release(other.Fingerprint()), qt.IsTrue)
		for range 30 {
			time.Sleep(time.Minute)
			q.ReportCrash(crashwatcher.Crash{Time: time.Now()})
			qt.Check(t, q.Admit(other), qt.IsNil)
		}
	})
}

// The reports that a node keeps are bounded, and old ones do not count.
func TestReportsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &Quarantiner{Sampler: &sampler.Sampler{Node: "n", Alive: func() map[string][]string { return nil }}}
		call := &messenger.Call{URI: "/rare"}
		for range 3 {
			q.ReportCrash(crashwatcher.Crash{Time: time.Now(), Requests: []messenger.Fingerprint{call.Fingerprint()}})
			time.Sleep(reportRetention/2 + time.Minute)
		}
		qt.Check(t, q.Admit(call), qt.IsNil)
		for i := range 2 * maxReports {
			time.Sleep(100 * time.Millisecond)
			q.ReportCrash(crashwatcher.Crash{Time: time.Now(), Requests: []messenger.Fingerprint{messenger.Fingerprint(i + 100)}})
		}
		qt.Check(t, len(q.reports) <= maxReports, qt.IsTrue, qt.Commentf("%d", len(q.reports)))
		digest := uint64(0)
		for id := range q.reports {
			digest ^= id
		}
		qt.Check(t, q.digest, qt.Equals, digest)
	})
}
