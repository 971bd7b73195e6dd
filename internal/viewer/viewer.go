// Package viewer queries the admin API of nodes for the operators' commands.
package viewer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"

	"github.com/zinniaproxy/zinniaproxy/internal/adminserver"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

const (
	maxReplyBytes = 64 << 20
	// maxConcurrentQueries bounds how many nodes QueryEach queries at once.
	maxConcurrentQueries = 16
)

// Viewer queries nodes. Set Client before the first query.
type Viewer struct {
	// Client sends the queries. Its timeout bounds each of them.
	Client *http.Client
}

// Configuration identifies the configuration of a node.
type Configuration struct {
	// Number increases with each change; 0 means that the node has none yet.
	Number uint64 `json:"number"`
	// Digest is the digest of the whole configuration.
	Digest string `json:"digest,omitempty"`
}

// Nodes returns the nodes that one node knows.
func (v *Viewer) Nodes(ctx context.Context, admin string) ([]adminserver.NodeView, error) {
	return getJSON[[]adminserver.NodeView](ctx, v, admin, "/v1/nodes", nil)
}

// Targets returns the targets that one node knows, of all services for "".
func (v *Viewer) Targets(ctx context.Context, admin, service string) ([]adminserver.TargetView, error) {
	return getJSON[[]adminserver.TargetView](ctx, v, admin, "/v1/targets", url.Values{"service": {service}})
}

// Workspaces returns the workspaces that one node knows.
func (v *Viewer) Workspaces(ctx context.Context, admin string) ([]adminserver.WorkspaceView, error) {
	return getJSON[[]adminserver.WorkspaceView](ctx, v, admin, "/v1/workspaces", nil)
}

// Quarantine returns the requests that one node keeps from targets.
func (v *Viewer) Quarantine(ctx context.Context, admin string) ([]adminserver.QuarantineView, error) {
	return getJSON[[]adminserver.QuarantineView](ctx, v, admin, "/v1/quarantine", nil)
}

// Release has a node end the quarantine of a request on all nodes. It reports
// whether the request was in quarantine.
func (v *Viewer) Release(ctx context.Context, admin, request string) (released bool, err error) {
	address := url.URL{Scheme: "http", Host: admin, Path: "/v1/quarantine/" + request}
	res, err := v.send(ctx, http.MethodDelete, address.String())
	if err != nil {
		return false, err
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusNoContent:
		return true, nil
	case http.StatusNotFound:
		return false, nil
	}
	return false, fmt.Errorf("viewer: %s returned status %s", address.String(), res.Status)
}

// Configuration returns the number and digest of one node's configuration.
func (v *Viewer) Configuration(ctx context.Context, admin string) (Configuration, error) {
	return getJSON[Configuration](ctx, v, admin, "/v1/configuration", nil)
}

// Declaration returns the declaration that one node has in force.
func (v *Viewer) Declaration(ctx context.Context, admin string) (declarer.Fleet, error) {
	return getJSON[declarer.Fleet](ctx, v, admin, "/v1/declaration", nil)
}

// Events returns the events that one node still keeps.
func (v *Viewer) Events(ctx context.Context, admin string) ([]tracer.Event, error) {
	return getJSON[[]tracer.Event](ctx, v, admin, "/v1/events", nil)
}

// Admins returns the given admin addresses and those of all other nodes that are
// neither dead nor left, as known to the first given node that replies. It
// returns an error if none replies.
func (v *Viewer) Admins(ctx context.Context, given []string) ([]string, error) {
	var err error
	for _, admin := range given {
		var nodes []adminserver.NodeView
		if nodes, err = v.Nodes(ctx, admin); err != nil {
			continue
		}
		out := slices.Clone(given)
		for _, n := range nodes {
			stopped := n.State == "dead" || n.State == "left"
			if n.Admin != "" && !stopped && !slices.Contains(out, n.Admin) {
				out = append(out, n.Admin)
			}
		}
		return out, nil
	}
	return nil, err
}

// Timeline returns the merged events of all nodes, and the errors of the nodes
// that did not reply.
func (v *Viewer) Timeline(ctx context.Context, given []string) ([]tracer.Event, []error) {
	admins, err := v.Admins(ctx, given)
	if err != nil {
		return nil, []error{err}
	}
	var errs []error
	var rings [][]tracer.Event
	QueryEach(ctx, admins, v.Events, func(admin string, ring []tracer.Event, err error) {
		if err != nil {
			errs = append(errs, err)
			return
		}
		rings = append(rings, ring)
	})
	return tracer.Merge(rings...), errs
}

// QueryEach queries many nodes concurrently. It calls handle with one reply at a
// time, in any order.
func QueryEach[T any](ctx context.Context, admins []string, query func(context.Context, string) (T, error), handle func(string, T, error)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	semaphore := make(chan struct{}, maxConcurrentQueries)
	for _, admin := range admins {
		semaphore <- struct{}{}
		wg.Go(func() {
			reply, err := query(ctx, admin)
			mu.Lock()
			handle(admin, reply, err)
			mu.Unlock()
			<-semaphore
		})
	}
	wg.Wait()
}

func getJSON[T any](ctx context.Context, v *Viewer, admin, path string, query url.Values) (T, error) {
	var out T
	address := url.URL{Scheme: "http", Host: admin, Path: path, RawQuery: query.Encode()}
	res, err := v.send(ctx, http.MethodGet, address.String())
	if err != nil {
		return out, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return out, fmt.Errorf("viewer: %s returned status %s", address.String(), res.Status)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(&out); err != nil {
		return out, fmt.Errorf("viewer: %s: %w", address.String(), err)
	}
	return out, nil
}

// send sends a request without a body. The caller closes the response's body.
func (v *Viewer) send(ctx context.Context, method, address string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return nil, fmt.Errorf("viewer: %w", err)
	}
	res, err := v.Client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("viewer: %w", err)
	}
	return res, nil
}
