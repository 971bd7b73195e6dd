// Package deduper ensures that each attempt of a call arrives at a target at
// most once. It runs on the exit node, which every call to its targets passes.
package deduper

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// DefaultMaxCallTime is the longest duration of a call.
	DefaultMaxCallTime = 2 * time.Minute
	// DefaultMaxAttempts is the maximum number of remembered attempts.
	DefaultMaxAttempts = 1 << 17

	shardCount = 64
	// clockDriftDivisor allows for clocks whose rates differ by one part in
	// this many.
	clockDriftDivisor = 100
)

// FenceResult is an exit node's answer about an attempt whose link broke.
type FenceResult uint8

const (
	// FenceUnknown proves nothing: the attempt may have arrived.
	FenceUnknown FenceResult = iota
	// FenceSeen means that the attempt arrived and may have run.
	FenceSeen
	// FenceNotSeen proves that the attempt did not arrive. It will be refused if it
	// does.
	FenceNotSeen
)

// attemptState is the remembered state of one attempt.
type attemptState uint8

const (
	// arrived attempts may have run.
	arrived attemptState = iota
	// fenced attempts were refused before they arrived.
	fenced
)

// shard holds the attempts of one part of the IDs. An attempt is kept for at
// least one generation and dropped with its whole generation.
type shard struct {
	mu sync.Mutex
	// current and previous are generations of attempts by ID.
	current, previous map[string]attemptState
	// currentSince is when the current generation began.
	currentSince time.Time
}

// Deduper remembers the attempts that arrived at one exit node.
type Deduper struct {
	// Epoch identifies this process by its start. A fence for another epoch
	// proves nothing.
	Epoch uint64
	// MaxCallTime is the longest duration of any call. Attempts are remembered
	// for longer, so that no frame of a forgotten attempt can arrive before its
	// deadline.
	MaxCallTime time.Duration
	// MaxAttempts bounds the remembered attempts. Beyond it, new attempts are
	// refused rather than old ones forgotten.
	MaxAttempts int

	seed   maphash.Seed
	shards [shardCount]shard
}

// New returns a deduper for a process that started at epoch.
func New(epoch uint64) *Deduper {
	return &Deduper{Epoch: epoch, MaxCallTime: DefaultMaxCallTime, MaxAttempts: DefaultMaxAttempts, seed: maphash.MakeSeed()}
}

// Begin admits the first arrival of an attempt that has the remaining time left
// to its deadline, its frame's transit time deducted. It returns an admission
// to be checked before the first byte is sent to the target, or a refusal that
// holds for this arrival: Repeated, DeadlineBefore, BadDeadline or Overloaded.
func (d *Deduper) Begin(id string, remaining time.Duration) (Admission, error) {
	now := time.Now()
	if remaining <= 0 {
		return Admission{}, coder.New(coder.DeadlineBefore, "call arrived %v after its deadline", -remaining)
	}
	if remaining > d.MaxCallTime {
		return Admission{}, coder.New(coder.BadDeadline, "%v left to the deadline, at most %v allowed", remaining, d.MaxCallTime)
	}
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now, d.generationLength())
	if state, ok := s.find(id); ok {
		return Admission{}, repeatedError(state)
	}
	if d.full(s) {
		return Admission{}, coder.New(coder.Overloaded, "too many attempts remembered")
	}
	s.current[id] = arrived
	return Admission{Deadline: now.Add(remaining), arrivedAt: now}, nil
}

// Fence reports whether an attempt that was sent sentAgo to the process of
// epoch has arrived. If it has not, it is refused from now on, which proves
// that it does not run.
func (d *Deduper) Fence(id string, epoch uint64, sentAgo time.Duration) FenceResult {
	if epoch != d.Epoch || sentAgo >= d.MaxCallTime {
		return FenceUnknown
	}
	now := time.Now()
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now, d.generationLength())
	if state, ok := s.find(id); ok {
		if state == fenced {
			return FenceNotSeen
		}
		return FenceSeen
	}
	if d.full(s) {
		return FenceUnknown
	}
	s.current[id] = fenced
	return FenceNotSeen
}

// Len returns the number of remembered attempts.
func (d *Deduper) Len() int {
	n := 0
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		n += len(s.current) + len(s.previous)
		s.mu.Unlock()
	}
	return n
}

func repeatedError(state attemptState) error {
	if state == fenced {
		return coder.New(coder.Repeated, "attempt was fenced")
	}
	return coder.New(coder.Repeated, "attempt arrived before")
}

func (d *Deduper) shard(id string) *shard {
	return &d.shards[maphash.String(d.seed, id)%shardCount]
}

// generationLength is the longest duration of a call plus an allowance for
// clock drift.
func (d *Deduper) generationLength() time.Duration {
	return d.MaxCallTime + d.MaxCallTime/clockDriftDivisor
}

// full reports whether a shard can take no more attempts. The caller holds its
// lock.
func (d *Deduper) full(s *shard) bool {
	return len(s.current)+len(s.previous) >= max(1, d.MaxAttempts/shardCount)
}

func (s *shard) find(id string) (attemptState, bool) {
	if state, ok := s.current[id]; ok {
		return state, true
	}
	state, ok := s.previous[id]
	return state, ok
}

// rotate begins a new generation if the current one is at least length old.
func (s *shard) rotate(now time.Time, length time.Duration) {
	if s.current != nil && now.Sub(s.currentSince) < length {
		return
	}
	if s.current == nil || now.Sub(s.currentSince) >= 2*length {
		s.current = nil
	}
	s.previous, s.current, s.currentSince = s.current, map[string]attemptState{}, now
}
