package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or one change of a key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store, which keeps its whole
// history.
type store struct {
	mu      sync.Mutex
	rev     uint64
	era     uint64
	items   map[string]item
	history []item
	leases  map[uint64]time.Time
	ttls    map[uint64]time.Duration
	last    uint64
	changed chan struct{}
	// refuse makes the store answer 503 without doing anything.
	refuse bool
	// turnedAway holds the machines that are answered with 503, and watchedAt when a
	// machine last asked for changes of the operator's keys.
	turnedAway map[string]bool
	watchedAt  map[string]time.Time
	// cut holds the machines that are cut off from the store: they get no answer.
	cut map[string]bool
}

func newStore() *store {
	return &store{rev: 1, era: 1, items: map[string]item{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}, changed: make(chan struct{}), turnedAway: map[string]bool{}, watchedAt: map[string]time.Time{}, cut: map[string]bool{}}
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(item{Key: key, Value: value})
	s.wake()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	s.erase(key)
	s.wake()
}

func (s *store) setRefuse(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
}

// write and erase change a key at the present revision. The caller holds the lock.
func (s *store) write(it item) {
	it.Revision, it.Created = s.rev, s.rev
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	s.items[it.Key] = it
	s.history = append(s.history, it)
}

func (s *store) erase(key string) {
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.rev, Deleted: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		now, ended := time.Now(), false
		for id, end := range s.leases {
			if now.Before(end) {
				continue
			}
			delete(s.leases, id)
			for key, it := range s.items {
				if it.Lease == id {
					s.rev++
					s.erase(key)
					ended = true
				}
			}
		}
		if ended {
			s.wake()
		}
		s.mu.Unlock()
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// setCut cuts a machine off from the store, or ends that. Its open calls break then.
func (s *store) setCut(n *node, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[n.name] = cut
	s.wake()
}

func (s *store) isCut(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[machine]
}

// awaitCutEnd waits while a machine is cut off, and then breaks its call.
func (s *store) awaitCutEnd(machine string, r *http.Request) {
	for s.isCut(machine) && r.Context().Err() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	panic(http.ErrAbortHandler) // closes the connection
}

// serve answers a call of a machine.
func (s *store) serve(machine string, w http.ResponseWriter, r *http.Request) {
	if s.isCut(machine) {
		s.awaitCutEnd(machine, r)
	}
	s.mu.Lock()
	refuse, era := s.refuse || s.turnedAway[machine], s.era
	if !refuse && strings.HasSuffix(r.URL.Path, wire["watch"]) && strings.HasPrefix(r.URL.Query().Get("pathPrefix"), "op/") {
		s.watchedAt[machine] = time.Now()
	}
	s.mu.Unlock()
	if refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(wire["era"], strconv.FormatUint(era, 10))
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/"), "/")
	lease, _ := strconv.ParseUint(id, 10, 64)
	switch path {
	case "kv-key":
		s.get(w, r.URL.Query().Get("key"))
	case wire["range"]:
		s.list(w, r)
	case wire["watch"]:
		s.watch(machine, w, r)
	case wire["txn"]:
		s.txn(w, r)
	case "kv-lease":
		s.grant(w, r)
	case "kv-keep":
		s.keep(w, lease)
	case "kv-lease-end":
		s.mu.Lock()
		s.leases[lease] = time.Time{}
		s.mu.Unlock()
		reply(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.items[key]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AtRev uint64 `json:"atRev"`
	}{it, rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	out, rev := []item{}, s.rev
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, s.items[key])
		}
	}
	s.mu.Unlock()
	more := len(out) > 500
	reply(w, http.StatusOK, map[string]any{"items": out[:min(len(out), 500)], "hasMore": more, "atRev": rev})
}

// turnAway answers machines with 503 from now on, and cuts their waiting watches.
func (s *store) turnAway(machines []*node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range machines {
		s.turnedAway[n.name] = true
	}
	s.wake()
}

func (s *store) watch(machine string, w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("pathPrefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, rev, changed, away := []item{}, s.rev, s.changed, s.turnedAway[machine]
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if s.isCut(machine) {
			s.awaitCutEnd(machine, r)
		}
		if away {
			panic(http.ErrAbortHandler) // closes the connection
		}
		if after > rev {
			w.WriteHeader(http.StatusGone)
			return
		}
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-end:
				done = true
			case <-r.Context().Done():
				return
			}
		}
		if done {
			reply(w, http.StatusOK, map[string]any{"events": events, "atRev": rev})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, present := false, []item{}
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		failed = failed || it.Revision != e.Revision
		if ok {
			present = append(present, it)
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.erase(key)
		}
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	s.mu.Lock()
	s.last++
	id, ttl := s.last, time.Duration(q.TTL)*time.Millisecond
	s.leases[id], s.ttls[id] = time.Now().Add(ttl), ttl
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": q.TTL})
}

func (s *store) keep(w http.ResponseWriter, id uint64) {
	s.mu.Lock()
	_, ok := s.leases[id]
	if ok {
		s.leases[id] = time.Now().Add(s.ttls[id])
	}
	ttl := s.ttls[id]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttlMs": ttl.Milliseconds()})
}
