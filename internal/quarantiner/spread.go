package quarantiner

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/sampler"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
)

const (
	// pushFanout is how many nodes of the own data centre get new reports,
	// remoteFanout how many of each other one get this node's own.
	pushFanout, remoteFanout = 4, 2
	// pullInterval is the mean time between two comparisons with a random node,
	// joinInterval that of a node that does not know yet what is in the store, and
	// remotePullProbability how often that node is of another data centre.
	pullInterval          = 2 * time.Second
	joinInterval          = 200 * time.Millisecond
	remotePullProbability = 0.25
	// newsInterval is the time between comparisons for newsPeriod after a new
	// report: who got one may have missed another.
	newsInterval = 250 * time.Millisecond
	newsPeriod   = 2 * time.Second
	// loadSpread bounds the random delay of the first read of the store, in which
	// a node that is already loaded spares the others the call.
	loadSpread = time.Second
	// readsPerInterval is how many of the nodes that do not know what is in the
	// store read it in each minStoreInterval.
	readsPerInterval = 20
	// minStoreInterval and maxStoreInterval bound the time between two tries to
	// read or write the store, which doubles while they fail.
	minStoreInterval = time.Second
	maxStoreInterval = 8 * time.Second
	queryTimeout     = 2 * time.Second
	storeTimeout     = 2 * time.Second
	// keepers is how many nodes write a quarantine to the store again after the
	// store was restored.
	keepers = 3
	// maxClockError bounds how far in the future a report may be, by the clock of
	// the node that made it.
	maxClockError = time.Minute
	// KeyPrefix is the prefix of the store's keys.
	KeyPrefix = "quarantine/"
)

// Run exchanges reports with other nodes and keeps quarantines in the store until
// ctx ends.
func (q *Quarantiner) Run(ctx context.Context) error {
	wake, news := q.channels()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { q.runStore(ctx, wake) })
	timer := time.NewTimer(rand.N(joinInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			wg.Go(func() { q.pull(ctx) })
			timer.Reset(q.nextPull())
		case <-news:
			timer.Reset(newsInterval)
		}
	}
}

// runStore reads and writes the store until ctx ends. It is apart from the
// exchange with other nodes, which a slow store must not delay.
func (q *Quarantiner) runStore(ctx context.Context, wake <-chan struct{}) {
	timer := time.NewTimer(joinInterval + rand.N(loadSpread))
	defer timer.Stop()
	interval := minStoreInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			if q.leaveReadToOthers() {
				timer.Reset(minStoreInterval)
				continue
			}
		case <-wake:
			interval = minStoreInterval
		}
		if q.syncStore(ctx) {
			interval = maxStoreInterval
		}
		timer.Reset(interval)
		interval = min(2*interval, maxStoreInterval)
	}
}

// leaveReadToOthers reports whether this node should not read the store yet, so
// that a large fleet whose nodes all start does not read it once for each.
func (q *Quarantiner) leaveReadToOthers() bool {
	q.mu.Lock()
	loaded := q.loaded
	q.mu.Unlock()
	nodes := 0
	for _, names := range q.Sampler.Alive() {
		nodes += len(names)
	}
	return !loaded && rand.N(max(nodes, 1)) >= readsPerInterval
}

// channels returns the channels that signal a quarantine to save and a new report.
func (q *Quarantiner) channels() (wake, news chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.wake == nil {
		q.wake, q.news = make(chan struct{}, 1), make(chan struct{}, 1)
	}
	return q.wake, q.news
}

// signal wakes Run up, if it runs.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (q *Quarantiner) nextPull() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case !q.loaded:
		return joinInterval
	case time.Since(q.lastNews) < newsPeriod:
		return newsInterval
	}
	return pullInterval/2 + rand.N(pullInterval)
}

// push sends new reports to a few nodes, which pass them on in their data centre.
func (q *Quarantiner) push(reports []Report, own bool) {
	if len(reports) == 0 {
		return
	}
	query := &Query{Reports: reports}
	near, remote := q.Sampler.Peers()
	names := sampler.Sample(near, pushFanout)
	if own {
		for _, others := range remote {
			names = append(names[:len(names):len(names)], sampler.Sample(others, remoteFanout)...)
		}
	}
	for _, name := range names {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
			defer cancel()
			_, _ = q.SendQuery(ctx, name, query) // a pull repairs what is lost
		}()
	}
}

// pull fetches the reports that a random node has and this one lacks.
func (q *Quarantiner) pull(ctx context.Context) {
	q.mu.Lock()
	q.prune(time.Now())
	query := &Query{Pull: true, Digest: q.digest}
	q.mu.Unlock()
	name := q.Sampler.Partner(remotePullProbability)
	if name == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, err := q.SendQuery(ctx, name, query)
	if err != nil {
		return
	}
	q.push(q.merge(reply.Reports, false), false)
	if reply.Loaded {
		q.setLoaded()
	}
}

// Handle answers a query of another node.
func (q *Quarantiner) Handle(_ context.Context, _ string, query *Query) (*Reply, error) {
	q.push(q.merge(query.Reports, false), false)
	q.mu.Lock()
	defer q.mu.Unlock()
	reply := &Reply{Loaded: q.loaded}
	if query.Pull && query.Digest != q.digest {
		reply.Reports = q.reportList()
	}
	return reply, nil
}

func (q *Quarantiner) setLoaded() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.loaded = true
}

// NoteEra records an era of the store. After a restoration from an older copy the
// store may lack quarantines and have some that were released, which a few nodes
// put right for all. It does not block.
func (q *Quarantiner) NoteEra(era uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	previous := q.era
	if q.era = max(previous, era); previous == 0 || era <= previous {
		return
	}
	if v := q.verdicts.Load(); v != nil {
		for request := range v.quarantinedUntil {
			if q.isKeeper(request) {
				q.saveLater(request)
			}
		}
	}
	if q.isKeeper(messenger.Fingerprint(era)) {
		q.reload = true
		signal(q.wake)
	}
}

// isKeeper reports whether this node is one of the keepers of a request. All nodes
// with the same member list agree.
func (q *Quarantiner) isKeeper(request messenger.Fingerprint) bool {
	own, above := trialRank(q.Sampler.Node, request), 0
	for _, names := range q.Sampler.Alive() {
		for _, name := range names {
			if trialRank(name, request) > own {
				above++
			}
		}
	}
	return above < keepers
}

// saveLater has the store brought up to date with a request that is in quarantine
// now, or no longer. The caller holds the lock.
func (q *Quarantiner) saveLater(request messenger.Fingerprint) {
	if q.unsaved == nil {
		q.unsaved = map[messenger.Fingerprint]bool{}
	}
	q.unsaved[request] = true
	signal(q.wake)
}

// syncStore reads the store unless that is done, and writes what it lacks. It
// reports whether nothing is left to do.
func (q *Quarantiner) syncStore(ctx context.Context) bool {
	q.mu.Lock()
	load := !q.loaded || q.reload
	unsaved := make([]messenger.Fingerprint, 0, len(q.unsaved))
	for request := range q.unsaved {
		unsaved = append(unsaved, request)
	}
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if load {
		if err := q.load(ctx); err != nil {
			q.Log.V(1).Info("quarantines not read", "error", err.Error())
			return false
		}
	}
	for _, request := range unsaved {
		if err := q.save(ctx, request); err != nil {
			q.Log.V(1).Info("quarantine not written", "request", request.String(), "error", err.Error())
			return false
		}
	}
	return true
}

// load reads what is kept in the store, and removes what no longer counts. A node
// that was loaded before knows too which requests were released.
func (q *Quarantiner) load(ctx context.Context) error {
	entries, err := q.Store.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	stored := make([][]Report, len(entries))
	for i, e := range entries {
		if err := messenger.Decode(e.Value, &stored[i]); err != nil {
			q.Log.Error(err, "quarantine in the store cannot be read", "key", e.Key)
			stored[i] = nil
			continue
		}
		stored[i] = slices.DeleteFunc(stored[i], func(r Report) bool { return time.Until(time.UnixMilli(r.Time)) > maxClockError })
		q.merge(stored[i], false)
	}
	q.mu.Lock()
	reloads := q.loaded
	q.mu.Unlock()
	for i, e := range entries {
		released := reloads && !slices.ContainsFunc(stored[i], q.blames)
		if len(stored[i]) > 0 && (released || !q.keepsAny(stored[i])) {
			q.remove(ctx, e)
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.loaded, q.reload = true, false
	return nil
}

// blames reports whether a request of a report is in quarantine.
func (q *Quarantiner) blames(r Report) bool {
	return slices.ContainsFunc(r.Requests, q.quarantines)
}

// keepsAny reports whether any of the reports counts.
func (q *Quarantiner) keepsAny(reports []Report) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range reports {
		if _, kept := q.reports[r.ID]; kept {
			return true
		}
	}
	return false
}

func (q *Quarantiner) remove(ctx context.Context, e storer.Entry) {
	if _, err := q.Store.Swap(ctx, e.Key, nil, e.Version, ""); err != nil {
		q.Log.V(1).Info("old quarantine not removed", "key", e.Key, "error", err.Error())
	}
}

// save writes the reports of a request in quarantine, or removes what is there of
// one that is not. New reports replace what is there: a later one adds to the
// earlier ones.
func (q *Quarantiner) save(ctx context.Context, request messenger.Fingerprint) error {
	key := KeyPrefix + request.String()
	e, err := q.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	var value []byte
	if q.quarantines(request) {
		value = messenger.Encode(q.reportsToSave(request))
	}
	if value != nil && !bytes.Equal(value, e.Value) || value == nil && e.Version != 0 {
		if _, err := q.Store.Swap(ctx, key, value, e.Version, ""); err != nil {
			return err
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.quarantines(request) == (value != nil) {
		delete(q.unsaved, request)
	}
	return nil
}

// maxSavedReports bounds the reports of one request in the store.
const maxSavedReports = 16

// reportsToSave returns the crashes of a request, each without the other requests.
func (q *Quarantiner) reportsToSave(request messenger.Fingerprint) []Report {
	crashes := q.crashesOf(request)
	out := make([]Report, 0, maxSavedReports)
	for _, r := range crashes[:min(len(crashes), maxSavedReports)] {
		out = append(out, r.only(request))
	}
	return out
}
