package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// event is one change of a key.
type event struct {
	item    item
	deleted bool
}

func (e event) wire() any {
	if !e.deleted {
		return e.item
	}
	return struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
		Deleted  bool   `json:"deleted"`
	}{e.item.Key, e.item.Revision, true}
}

// Store is a sound store of the platform: it loses nothing and answers at once.
// Leases are granted and never expire during a run.
type Store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	leases   uint64
	items    map[string]item
	events   []event
	// changed is closed and replaced with each change.
	changed chan struct{}
}

func newStore() (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: ln, revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.GetPath, s.get)
	mux.HandleFunc("GET "+names.RangePath, s.list)
	mux.HandleFunc("GET "+names.WatchPath, s.watch)
	mux.HandleFunc("POST "+names.TxnPath, s.commit)
	mux.HandleFunc("POST "+names.LeasePath, s.lease)
	mux.HandleFunc("POST "+names.KeepPath+"{id}", reply)
	mux.HandleFunc("DELETE "+names.EndPath+"{id}", reply)
	go func() { _ = http.Serve(ln, withEra(mux)) }()
	return s, nil
}

func withEra(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.Era, "1")
		w.Header().Set("Content-Type", "application/json")
		h.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Address returns the store's address.
func (s *Store) Address() string { return s.listener.Addr().String() }

func (s *Store) close() { _ = s.listener.Close() }

// Put writes a key as the operator.
func (s *Store) Put(key string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, b, 0)
	return nil
}

// Remove removes a key as the operator.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Advance raises the revision as that many changes of other keys do. Watches see
// nothing of it.
func (s *Store) Advance(changes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision += changes
}

// put writes a key. The caller holds the lock, as for remove.
func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.notify(event{item: it})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.notify(event{item: item{Key: key, Revision: s.revision}, deleted: true})
}

func (s *Store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.FormValue("key")]
	if !ok {
		writeJSON(w, http.StatusNotFound, struct {
			AtRev uint64 `json:"atRev"`
		}{s.revision})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		AtRev uint64 `json:"atRev"`
	}{it, s.revision})
}

// maxPageItems is the most items in one page of a range.
const maxPageItems = 500

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.FormValue("pathPrefix"), r.FormValue("after")
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > maxPageItems
	writeJSON(w, http.StatusOK, struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"hasMore"`
		AtRev   uint64 `json:"atRev"`
	}{found[:min(len(found), maxPageItems)], more, s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		found, revision, changed := s.eventsAfter(r.FormValue("pathPrefix"), after)
		expired := false
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				expired = true
			}
		}
		if len(found) > 0 || expired {
			writeJSON(w, http.StatusOK, struct {
				Events []any  `json:"events"`
				AtRev  uint64 `json:"atRev"`
			}{found, revision})
			return
		}
	}
}

func (s *Store) eventsAfter(prefix string, after uint64) (found []any, revision uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found = []any{}
	for _, e := range s.events {
		if e.item.Revision > after && strings.HasPrefix(e.item.Key, prefix) {
			found = append(found, e.wire())
		}
	}
	return found, s.revision, s.changed
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var txn struct {
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
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		writeJSON(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range txn.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Revision == e.Revision
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, struct {
			Items []item `json:"items"`
		}{current})
		return
	}
	for _, p := range txn.Puts {
		if denied(p.Key) {
			writeJSON(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	for _, p := range txn.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	writeJSON(w, http.StatusOK, struct {
		Revision uint64 `json:"revision"`
	}{s.revision})
}

// denied reports whether the system may not write a key.
func denied(key string) bool {
	return slices.ContainsFunc(names.SystemDenied, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

func (s *Store) lease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	writeJSON(w, http.StatusOK, struct {
		Lease uint64 `json:"lease"`
		TTL   int    `json:"ttlMs"`
	}{s.leases, body.TTL})
}
