package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// HTTP protocol of the fake store: GET/PUT/DELETE /v1/keys/KEY with the version
// in the Version header, GET /v1/list/PREFIX, GET /v1/watch/KEY and
// PUT /v1/leases/ID. Each reply has the store's era in the Era header. The users'
// test bench replaces this file, and only this file.
const (
	// VersionHeader carries the version of a value.
	VersionHeader = "Version"
	// LeaseHeader names the lease of a written key.
	LeaseHeader = "Lease"
	// EraHeader carries the store's era, which rises each time that the store is
	// restored from an older copy.
	EraHeader        = "Era"
	maxResponseBytes = 64 << 20
)

type httpStore struct {
	base   string
	client *http.Client
	eras   *EraTracker
}

// Dial returns a client of the store at base, such as "http://127.0.0.1:7000".
// It does not connect yet.
func Dial(base string, client *http.Client) *Store {
	s := &httpStore{base: base, client: client, eras: &EraTracker{}}
	return &Store{Get: s.get, Swap: s.swap, List: s.list, Watch: s.watch, Lease: s.lease, Eras: s.eras}
}

func (s *httpStore) do(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	res, err := s.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, err
	}
	if res.StatusCode >= http.StatusInternalServerError {
		return nil, nil, fmt.Errorf("storer: store returned status %d", res.StatusCode)
	}
	if _, err := s.eras.ParseEra(res.Header.Get(EraHeader)); err != nil {
		return nil, nil, err
	}
	return res, b, nil
}

// responseRevision returns the era and the revision in a response, 0 for a
// revision that it does not have.
func (s *httpStore) responseRevision(res *http.Response) (era, revision uint64) {
	revision, _ = strconv.ParseUint(res.Header.Get(VersionHeader), 10, 64)
	era, _ = strconv.ParseUint(res.Header.Get(EraHeader), 10, 64) // do has checked it
	return era, revision
}

func (s *httpStore) responseEntry(key string, res *http.Response, b []byte) Entry {
	e := Entry{Key: key, Version: Version(s.responseRevision(res))}
	if e.Version != 0 {
		e.Value = b
	}
	return e
}

func (s *httpStore) get(ctx context.Context, key string) (Entry, error) {
	res, b, err := s.do(ctx, http.MethodGet, "/v1/keys/"+url.PathEscape(key), nil, nil)
	if err != nil {
		return Entry{}, err
	}
	return s.responseEntry(key, res, b), nil
}

func (s *httpStore) swap(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	get := func() (uint64, error) {
		e, err := s.get(ctx, key)
		return e.Version, err
	}
	return s.eras.Swap(version, get, func(revision uint64) (era, current uint64, err error) {
		return s.write(ctx, key, value, revision, lease)
	})
}

func (s *httpStore) write(ctx context.Context, key string, value []byte, revision uint64, lease string) (era, current uint64, err error) {
	method := http.MethodPut
	if value == nil {
		method = http.MethodDelete
	}
	header := http.Header{}
	header.Set(VersionHeader, strconv.FormatUint(revision, 10))
	header.Set(LeaseHeader, lease)
	res, _, err := s.do(ctx, method, "/v1/keys/"+url.PathEscape(key), value, header)
	if err != nil {
		return 0, 0, err
	}
	era, current = s.responseRevision(res)
	switch res.StatusCode {
	case http.StatusOK:
		return era, current, nil
	case http.StatusConflict:
		return era, current, ErrConflict
	case http.StatusGone:
		return era, 0, ErrNoLease
	}
	return era, 0, fmt.Errorf("storer: store returned status %d", res.StatusCode)
}

func (s *httpStore) list(ctx context.Context, prefix string) ([]Entry, error) {
	res, b, err := s.do(ctx, http.MethodGet, "/v1/list/"+url.PathEscape(prefix), nil, nil)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	if err := json.Unmarshal(b, &entries); err != nil {
		return nil, errors.Join(errors.New("storer: list response is not valid JSON"), err)
	}
	for i := range entries {
		era, _ := s.responseRevision(res)
		entries[i].Version = Version(era, entries[i].Version)
	}
	return entries, nil
}

func (s *httpStore) watch(ctx context.Context, key string, version uint64, wait time.Duration) (Entry, error) {
	era, revision := splitVersion(version)
	if version != 0 && era != s.eras.Current() {
		return s.get(ctx, key)
	}
	q := url.Values{"version": {strconv.FormatUint(revision, 10)}, "wait": {wait.String()}}
	res, b, err := s.do(ctx, http.MethodGet, "/v1/watch/"+url.PathEscape(key)+"?"+q.Encode(), nil, nil)
	if err != nil {
		return Entry{}, err
	}
	return s.responseEntry(key, res, b), nil
}

func (s *httpStore) lease(ctx context.Context, id string, ttl time.Duration) error {
	body, err := json.Marshal(struct {
		TTL time.Duration `json:"ttl"`
	}{ttl})
	if err != nil {
		return err
	}
	_, _, err = s.do(ctx, http.MethodPut, "/v1/leases/"+url.PathEscape(id), body, nil)
	return err
}
