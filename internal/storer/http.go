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
// PUT /v1/leases/ID. The users' test bench replaces this file, and only this
// file.
const (
	// VersionHeader carries the version of a value.
	VersionHeader = "Version"
	// LeaseHeader names the lease of a written key.
	LeaseHeader      = "Lease"
	maxResponseBytes = 64 << 20
)

type httpStore struct {
	base   string
	client *http.Client
}

// Dial returns a client of the store at base, such as "http://127.0.0.1:7000".
// It does not connect yet.
func Dial(base string, client *http.Client) *Store {
	s := &httpStore{base: base, client: client}
	return &Store{Get: s.get, Swap: s.swap, List: s.list, Watch: s.watch, Lease: s.lease}
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
	return res, b, nil
}

func responseVersion(res *http.Response) uint64 {
	v, _ := strconv.ParseUint(res.Header.Get(VersionHeader), 10, 64)
	return v
}

func responseEntry(key string, res *http.Response, b []byte) Entry {
	e := Entry{Key: key, Version: responseVersion(res)}
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
	return responseEntry(key, res, b), nil
}

func (s *httpStore) swap(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	method := http.MethodPut
	if value == nil {
		method = http.MethodDelete
	}
	header := http.Header{}
	header.Set(VersionHeader, strconv.FormatUint(version, 10))
	header.Set(LeaseHeader, lease)
	res, _, err := s.do(ctx, method, "/v1/keys/"+url.PathEscape(key), value, header)
	if err != nil {
		return 0, err
	}
	switch res.StatusCode {
	case http.StatusOK:
		return responseVersion(res), nil
	case http.StatusConflict:
		return responseVersion(res), ErrConflict
	case http.StatusGone:
		return 0, ErrNoLease
	}
	return 0, fmt.Errorf("storer: store returned status %d", res.StatusCode)
}

func (s *httpStore) list(ctx context.Context, prefix string) ([]Entry, error) {
	_, b, err := s.do(ctx, http.MethodGet, "/v1/list/"+url.PathEscape(prefix), nil, nil)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	if err := json.Unmarshal(b, &entries); err != nil {
		return nil, errors.Join(errors.New("storer: list response is not valid JSON"), err)
	}
	return entries, nil
}

func (s *httpStore) watch(ctx context.Context, key string, version uint64, wait time.Duration) (Entry, error) {
	q := url.Values{"version": {strconv.FormatUint(version, 10)}, "wait": {wait.String()}}
	res, b, err := s.do(ctx, http.MethodGet, "/v1/watch/"+url.PathEscape(key)+"?"+q.Encode(), nil, nil)
	if err != nil {
		return Entry{}, err
	}
	return responseEntry(key, res, b), nil
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
