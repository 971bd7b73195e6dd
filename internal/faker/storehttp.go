package faker

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/storer"
)

// Handler serves the store over HTTP in the protocol of storer.Dial, plus
// GET and PUT /v1/faults, GET /v1/counts and POST /v1/restore, which restores the
// content of an earlier time.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key}", s.serveGet)
	mux.HandleFunc("PUT /v1/keys/{key}", s.serveSwap)
	mux.HandleFunc("DELETE /v1/keys/{key}", s.serveSwap)
	mux.HandleFunc("GET /v1/list/{prefix}", s.serveList)
	mux.HandleFunc("GET /v1/watch/{key}", s.serveWatch)
	mux.HandleFunc("PUT /v1/leases/{id}", s.serveLease)
	mux.HandleFunc("POST /v1/restore", s.serveRestore)
	mux.HandleFunc("GET /v1/faults", s.serveFaults)
	mux.HandleFunc("PUT /v1/faults", s.serveSetFaults)
	mux.HandleFunc("GET /v1/counts", s.serveCounts)
	return mux
}

// writeError maps a store error to a status. For ErrReplyLost it closes the
// connection, so that the client cannot tell whether the write took effect.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, storer.ErrConflict):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, storer.ErrNoLease):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, ErrReplyLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, context.Canceled):
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func setEra(w http.ResponseWriter, era uint64) {
	if era != 0 {
		w.Header().Set(storer.EraHeader, strconv.FormatUint(era, 10))
	}
}

func writeEntry(w http.ResponseWriter, e storer.Entry) {
	w.Header().Set(storer.VersionHeader, strconv.FormatUint(e.Version, 10))
	_, _ = w.Write(e.Value)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	e, era, err := s.get(r.Context(), r.PathValue("key"))
	setEra(w, era)
	if err != nil {
		writeError(w, err)
		return
	}
	writeEntry(w, e)
}

func (s *Store) serveSwap(w http.ResponseWriter, r *http.Request) {
	var value []byte
	if r.Method == http.MethodPut {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, storer.MaxValueBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		value = append([]byte{}, b...)
	}
	v, err := strconv.ParseUint(r.Header.Get(storer.VersionHeader), 10, 64)
	if err != nil {
		http.Error(w, "version is not an unsigned integer", http.StatusBadRequest)
		return
	}
	era, newVersion, err := s.swap(r.Context(), r.PathValue("key"), value, v, r.Header.Get(storer.LeaseHeader))
	setEra(w, era)
	w.Header().Set(storer.VersionHeader, strconv.FormatUint(newVersion, 10))
	if err != nil {
		writeError(w, err)
	}
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	entries, era, err := s.list(r.Context(), r.PathValue("prefix"))
	setEra(w, era)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, entries)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	v, err := strconv.ParseUint(r.FormValue("version"), 10, 64)
	if err != nil {
		http.Error(w, "version is not an unsigned integer", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.FormValue("wait"))
	if err != nil {
		http.Error(w, "wait is not a duration", http.StatusBadRequest)
		return
	}
	e, era, err := s.watch(r.Context(), r.PathValue("key"), v, wait)
	setEra(w, era)
	if err != nil {
		writeError(w, err)
		return
	}
	writeEntry(w, e)
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL time.Duration `json:"ttl"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	era, err := s.lease(r.Context(), r.PathValue("id"), body.TTL)
	setEra(w, era)
	if err != nil {
		writeError(w, err)
	}
}

func (s *Store) serveRestore(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Copied time.Time `json:"copied"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Restore(body.Copied)
}

func (s *Store) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Faults())
}

func (s *Store) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Store) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counts())
}
