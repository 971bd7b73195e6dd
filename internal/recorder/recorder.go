// Package recorder lets a caller repeat a request with its idempotency key:
// across all nodes, node failures, store outages and lost replies the request
// runs at most once, and a repeat gets the first answer or an accurate code.
//
// The keys are split into shards. The owner of a shard commits the intents
// (write-ahead records) of many calls in one write to the store, before any of
// them is dispatched. The compare-and-swap of that write is the fence between
// owners. While the store does not respond, the owner serves from memory with
// the votes of a majority of the members, each of which would know of a later
// owner.
package recorder

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Defaults of a recorder.
const (
	// DefaultShardCount is the number of shards that the keys are split into.
	// All nodes of a fleet must use the same number.
	DefaultShardCount = 8
	// DefaultKeyLifetime is how long a key is kept.
	DefaultKeyLifetime = 10 * time.Minute
	// DefaultMaxRequestTime is the longest duration of a request. It is added
	// to the key lifetime, so that the lifetime counts from when a repeat was
	// sent.
	DefaultMaxRequestTime = 2 * time.Minute
	// DefaultMinCommitInterval is the minimum time between two commits of a
	// shard.
	DefaultMinCommitInterval = 60 * time.Millisecond
	// DefaultVoteValidity is how long an owner may serve from memory after a
	// round of votes.
	DefaultVoteValidity = 30 * time.Second
	// DefaultMaxAnswerBytes bounds one kept answer, DefaultMaxShardAnswerBytes
	// all kept answers of a shard.
	DefaultMaxAnswerBytes      = 4 << 10
	DefaultMaxShardAnswerBytes = 4 << 20

	storeTimeout              = 500 * time.Millisecond
	queryTimeout              = time.Second
	maxOutcomeDelay           = time.Second
	storeProbeInterval        = time.Second
	voterRefreshInterval      = 30 * time.Second
	minAcquireInterval        = 500 * time.Millisecond
	maxRunningRetryAfter      = time.Second
	unavailableRetryAfter     = 2 * time.Second
	maxHeadRecordBytes        = 4 << 10
	maxSegmentBytes           = 256 << 10
	maxShardRecords           = 200_000
	maxOwnerQueries           = 4
	maxConcurrentVoteRequests = 64
	// minMovePause and maxMovePause bound the pause before a node that hands a
	// shard over, or receives one, is queried again, which doubles each time.
	// maxMoveWait bounds how long a call waits for that.
	minMovePause = 5 * time.Millisecond
	maxMovePause = 100 * time.Millisecond
	maxMoveWait  = 2 * time.Second
)

// Intent is a keyed call that is about to run.
type Intent struct {
	// Workspace and Key are those of the caller.
	Workspace, Key string
	// RequestDigest is the digest of method, URI and body.
	RequestDigest uint64
	// RunID identifies this arrival of the request; it is unique in the fleet.
	RunID uint64
	// Timeout is the maximum run time of the call.
	Timeout time.Duration
}

// Outcome is how a call ended.
type Outcome struct {
	// Ran reports whether the call ran. RanNo requires proof.
	Ran coder.Ran
	// Answer is the encoded answer, with RanYes.
	Answer []byte
}

// Recorder records keyed calls. On an entry node it queries the owners of
// shards; it also owns the shards that are assigned to its own node. Set the
// exported fields before Run.
type Recorder struct {
	// Node is the name of this node.
	Node string
	// Store is the client of the platform's store.
	Store *storer.Store
	// Nodes returns the nodes that are alive and not leaving.
	Nodes func() []string
	// Up reports whether a node is running, including one that is leaving.
	Up func(node string) bool
	// Members returns the members of the fleet, over which votes are counted. A
	// node that is dead or unreachable stays a member until the fleet has been
	// told that it left.
	Members func() []string
	// SendQuery sends a query to another node.
	SendQuery func(ctx context.Context, node string, q *Query) (*Reply, error)
	// ShardCount and the durations are documented at their defaults.
	ShardCount                                                   int
	KeyLifetime, MaxRequestTime, MinCommitInterval, VoteValidity time.Duration
	// MaxAnswerBytes bounds one kept answer, MaxShardAnswerBytes all kept
	// answers of a shard.
	MaxAnswerBytes, MaxShardAnswerBytes int
	// Rand returns a random number.
	Rand func() uint64
	// Tracer receives events; nil drops them.
	Tracer *tracer.Tracer

	setupOnce sync.Once
	started   time.Time
	shards    []*shard
	// voteSlots bounds concurrent vote requests.
	voteSlots chan struct{}
	eraMu     sync.Mutex
	// notedEra is the highest known era of the store, eraNotedAt when it became
	// known.
	notedEra   uint64
	eraNotedAt time.Time
	// releasing reports that this node acquires no more shards.
	releasing atomic.Bool
}

// New returns a recorder with the defaults.
func New(node string) *Recorder {
	return &Recorder{
		Node: node, ShardCount: DefaultShardCount, KeyLifetime: DefaultKeyLifetime, MaxRequestTime: DefaultMaxRequestTime,
		MinCommitInterval: DefaultMinCommitInterval, VoteValidity: DefaultVoteValidity,
		MaxAnswerBytes: DefaultMaxAnswerBytes, MaxShardAnswerBytes: DefaultMaxShardAnswerBytes, Rand: rand.Uint64,
	}
}

// retention is how long a record is kept.
func (r *Recorder) retention() time.Duration { return r.KeyLifetime + r.MaxRequestTime }

// setup creates the shards.
func (r *Recorder) setup() {
	r.started = time.Now()
	r.voteSlots = make(chan struct{}, maxConcurrentVoteRequests)
	for i := range r.ShardCount {
		r.shards = append(r.shards, newShard(r, i))
	}
}

// Run maintains the shards that this node owns until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	r.setupOnce.Do(r.setup)
	var wg sync.WaitGroup
	for _, s := range r.shards {
		wg.Go(func() { s.run(ctx) })
	}
	wg.Wait()
	return nil
}

// digestKey returns the digest of a workspace and its idempotency key.
func digestKey(workspace, key string) keyDigest {
	h := sha256.New()
	var workspaceLength [8]byte
	binary.BigEndian.PutUint64(workspaceLength[:], uint64(len(workspace)))
	_, _ = h.Write(workspaceLength[:])
	_, _ = h.Write([]byte(workspace))
	_, _ = h.Write([]byte(key))
	var sum keyDigest
	copy(sum[:], h.Sum(nil))
	return sum
}

// shardOf returns the shard of a key.
func (r *Recorder) shardOf(key []byte) *shard {
	return r.shards[binary.BigEndian.Uint64(key)%uint64(len(r.shards))]
}

// Begin records the intent of a call. It returns nil if the call may run, the
// encoded first answer if it ran before, or a refusal with one of the codes for
// repeats.
func (r *Recorder) Begin(ctx context.Context, in Intent) ([]byte, error) {
	r.setupOnce.Do(r.setup)
	key := digestKey(in.Workspace, in.Key)
	q := &Query{Begin: &BeginRequest{KeyDigest: key[:], RequestDigest: in.RequestDigest, RunID: in.RunID, Timeout: in.Timeout}}
	reply := r.queryOwner(ctx, r.shardOf(key[:]), q)
	switch reply.Status {
	case MayRun:
		return nil, nil
	case Answered:
		return reply.Answer, nil
	case Ran:
		return nil, coder.New(coder.RepeatRan, "")
	case Running:
		return nil, coder.New(coder.RepeatRunning, "").WithAfter(reply.RetryAfter)
	case OutcomeUnknown:
		return nil, coder.New(coder.RepeatUnknown, "")
	case Mismatch:
		return nil, coder.New(coder.RepeatMismatch, "")
	}
	// The intent may have been recorded and its reply lost. As the call does
	// not run, release the key.
	r.Finish(ctx, in, Outcome{Ran: coder.RanNo})
	return nil, coder.New(coder.RecordUnavailable, "").WithAfter(max(reply.RetryAfter, unavailableRetryAfter))
}

// Finish records the outcome of a call. It does not block; if the report is
// lost, the outcome stays unknown.
func (r *Recorder) Finish(ctx context.Context, in Intent, o Outcome) {
	key := digestKey(in.Workspace, in.Key)
	f := &FinishRequest{KeyDigest: key[:], RequestDigest: in.RequestDigest, RunID: in.RunID, State: stateUnknown}
	switch o.Ran {
	case coder.RanYes:
		f.State = stateRan
		if len(o.Answer) <= r.MaxAnswerBytes {
			f.Answer = o.Answer
		}
	case coder.RanNo:
		f.State = stateReleased
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), 2*queryTimeout)
	go func() {
		defer stop()
		r.queryOwner(ctx, r.shardOf(key[:]), &Query{Finish: f})
	}()
}

// queryOwner queries the owner of a shard. While the shard is handed over, it waits
// for the next owner.
func (r *Recorder) queryOwner(ctx context.Context, s *shard, q *Query) *Reply {
	waitUntil := time.Now().Add(maxMoveWait)
	for pause := minMovePause; ; pause = min(2*pause, maxMovePause) {
		reply := r.queryCandidates(ctx, s, q)
		if reply.Status != Moving {
			return reply
		}
		if time.Now().Add(pause).After(waitUntil) || !sleep(ctx, pause) {
			return &Reply{Status: Unavailable, RetryAfter: unavailableRetryAfter}
		}
	}
}

// sleep waits, and reports whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// queryCandidates queries up to maxOwnerQueries nodes for the owner of a shard. It
// returns the reply of the owner, of a node at which the shard is moving, or
// Unavailable.
func (r *Recorder) queryCandidates(ctx context.Context, s *shard, q *Query) *Reply {
	unavailable := &Reply{Status: Unavailable, RetryAfter: unavailableRetryAfter}
	queried := map[string]int{}
	candidates := s.ownerCandidates()
	for attempt := 0; attempt < maxOwnerQueries && len(candidates) > 0 && ctx.Err() == nil; attempt++ {
		node := candidates[0]
		candidates = candidates[1:]
		reply, err := r.query(ctx, node, q)
		if err != nil {
			continue
		}
		if reply.Status != NotOwner {
			if reply.Status != Unavailable {
				return reply
			}
			unavailable = reply
		}
		if queried[node]++; reply.Owner != "" && queried[reply.Owner] == 0 {
			candidates = append([]string{reply.Owner}, candidates...)
		}
	}
	return unavailable
}

// query sends a query to one node, which may be this one.
func (r *Recorder) query(ctx context.Context, node string, q *Query) (*Reply, error) {
	ctx, stop := context.WithTimeout(ctx, 2*queryTimeout)
	defer stop()
	if node == r.Node {
		return r.Handle(ctx, node, q)
	}
	return r.SendQuery(ctx, node, q)
}

// Handle answers a query from a node, which may be this one.
func (r *Recorder) Handle(ctx context.Context, _ string, q *Query) (*Reply, error) {
	r.setupOnce.Do(r.setup)
	switch {
	case q.Begin != nil && len(q.Begin.KeyDigest) == keyDigestBytes:
		return r.shardOf(q.Begin.KeyDigest).begin(ctx, q.Begin), nil
	case q.Finish != nil && len(q.Finish.KeyDigest) == keyDigestBytes:
		return r.shardOf(q.Finish.KeyDigest).finish(ctx, q.Finish), nil
	case q.Vote != nil && r.isShard(q.Vote.Shard):
		return &Reply{Vote: r.shards[q.Vote.Shard].vote(q.Vote)}, nil
	case q.Owner != nil && r.isShard(q.Owner.Shard):
		return &Reply{Yes: r.shards[q.Owner.Shard].serves()}, nil
	case q.Handover != nil && r.isShard(q.Handover.Shard):
		return &Reply{Yes: r.shards[q.Handover.Shard].receiveHandover(q.Handover)}, nil
	}
	return nil, coder.New(coder.BadRequest, "record query has no valid request")
}

func (r *Recorder) isShard(shard int) bool { return shard >= 0 && shard < len(r.shards) }

// nodeRank orders the nodes for a shard. All nodes compute the same order.
func nodeRank(shard int, node string) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(shard))
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(node)
	return h.Sum64()
}
