package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["prefix"] = prefix }

// prefix: clients ask for paths that end where a route's prefix has its last slash.
func prefix(f *fleet, trouble bool) (string, error) {
	f.services = []string{"guides", "stock", "shop"}
	for _, s := range f.services {
		f.addNode("zone-a", s)
	}
	f.configure(1, []route{
		{Name: "r-guides", Host: host, Prefix: "/guides/", Kind: "idempotent", Timeout: 2000, Latency: 1200, Service: "guides", MaxAttempts: 2, Public: true},
		{Name: "r-stock", Host: host, Prefix: "/guides/stock/", Kind: "idempotent", Timeout: 2000, Latency: 1200, Service: "stock", MaxAttempts: 2, Public: true},
		{Name: "r-book", Host: host, Prefix: "/book/", Kind: "non_idempotent", Timeout: 2500, Latency: 1200, Service: "shop", MaxAttempts: 2, Public: true},
	}, nil)
	if err := f.startAll("/guides/1", "/guides/stock/1"); err != nil {
		return "", err
	}
	// Each request may be run by one service, or by none.
	type ask struct{ method, path, allowed string }
	asks := []ask{{http.MethodGet, "/guides/stock/", "stock"}, {http.MethodGet, "/guides/stocks", "guides"}, {http.MethodPost, "/book/", "shop"}, {http.MethodGet, "/none", ""}}
	if trouble {
		asks = []ask{{http.MethodGet, "/guides/stock", "guides"}, {http.MethodPost, "/book", ""}, {http.MethodGet, "/guides", ""}}
	}
	wrong := 0
	for i := range 30 {
		q := asks[i%len(asks)]
		a := f.nodes[i%len(f.nodes)].send(q.method, q.path, "", 2*time.Second)
		f.note("client: %s %s %s answered %d", a.id, q.method, q.path, a.status)
		for _, n := range f.nodes {
			for _, r := range n.up.list() {
				if r.id == a.id && n.service != q.allowed {
					f.note("%s was run by %s; the configuration allows %q", a.id, n.service, q.allowed)
					wrong++
				}
			}
		}
	}
	if wrong > 0 {
		return fmt.Sprintf("ROUTE: %d of 30 requests were run by a service to which no configuration allows them to go", wrong), nil
	}
	return "", nil
}
