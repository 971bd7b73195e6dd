// Package adminserver serves a node's admin API: health, metrics, events and
// state for operators, and announcements of targets.
package adminserver

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	restful "github.com/emicklei/go-restful/v3"
	"github.com/rcrowley/go-metrics"

	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/quarantiner"
	"github.com/zinniaproxy/zinniaproxy/internal/targetregistrar"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// codeHeader is the header with a refusal's code number.
const codeHeader = "Zinnia-Code"

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 64 << 10

// Server serves the admin API. Set the fields before calling Handler.
type Server struct {
	// Index returns the configuration in force, nil before there is one.
	Index func() *indexer.Index
	// Digest returns the digest of the configuration in force.
	Digest func() string
	// NotReadyReason returns why the node does not accept calls, or "" if it does.
	NotReadyReason func() string
	// Nodes returns the nodes that this node knows.
	Nodes func() []NodeView
	// Targets returns the known targets of a service, or of all services for
	// "".
	Targets func(service string) []messenger.Target
	// Quarantine returns the requests that are kept from targets.
	Quarantine func() []quarantiner.Entry
	// Release ends the quarantine of a request on all nodes, and reports whether it
	// was in quarantine.
	Release func(request messenger.Fingerprint) bool
	// Registrar handles announcements.
	Registrar *targetregistrar.Registrar
	// Metrics is the node's metrics registry.
	Metrics metrics.Registry
	// Tracer holds the node's events.
	Tracer *tracer.Tracer
}

// NodeView is a node's state as known to the responding node.
type NodeView struct {
	Name    string `json:"name"`
	State   string `json:"state"`
	Centre  string `json:"centre"`
	Region  string `json:"region"`
	Link    string `json:"link"`
	Callers string `json:"callers"`
	Admin   string `json:"admin"`
	Epoch   uint64 `json:"epoch"`
	Leaving bool   `json:"leaving"`
	// Direct is false if the responding node reaches this node only through
	// others.
	Direct bool `json:"direct"`
}

// TargetView is a target's state as known to the responding node. Trust is its
// health verdict; a higher Score means a less healthy target.
type TargetView struct {
	Name    string  `json:"name"`
	Service string  `json:"service"`
	Address string  `json:"address"`
	Node    string  `json:"node"`
	Centre  string  `json:"centre"`
	State   string  `json:"state"`
	Trust   string  `json:"trust"`
	Slots   int     `json:"slots"`
	Limit   int     `json:"limit"`
	Score   float64 `json:"score"`
	Epoch   uint64  `json:"epoch"`
}

// WorkspaceView is a workspace with the names of its keys, without digests.
type WorkspaceView struct {
	Name   string   `json:"name"`
	Rate   float64  `json:"rate"`
	Burst  int      `json:"burst"`
	Weight int      `json:"weight"`
	Keys   []string `json:"keys"`
}

// QuarantineView is a request that is kept from targets, by its fingerprint.
type QuarantineView struct {
	Request string    `json:"request"`
	Until   time.Time `json:"until"`
	Crashes int       `json:"crashes"`
}

// Handler returns the handler of the admin API.
func (s *Server) Handler() http.Handler {
	ws := new(restful.WebService)
	ws.Path("/v1").Produces(restful.MIME_JSON)
	ws.Route(ws.GET("/health").To(s.health))
	ws.Route(ws.GET("/ready").To(s.ready))
	ws.Route(ws.GET("/metrics").To(s.metrics))
	ws.Route(ws.GET("/figures").Produces("text/plain").To(s.textMetrics))
	ws.Route(ws.GET("/events").To(s.events))
	ws.Route(ws.GET("/nodes").To(s.nodes))
	ws.Route(ws.GET("/targets").To(s.targets))
	ws.Route(ws.GET("/workspaces").To(s.workspaces))
	ws.Route(ws.GET("/quarantine").To(s.quarantine))
	ws.Route(ws.DELETE("/quarantine/{request}").Consumes("*/*").To(s.release))
	ws.Route(ws.GET("/configuration").To(s.configuration))
	ws.Route(ws.GET("/declaration").To(s.declaration))
	ws.Route(ws.PUT("/targets/{service}/{address}").Consumes("*/*").To(s.announce))
	ws.Route(ws.DELETE("/targets/{service}/{address}").Consumes("*/*").To(s.withdraw))
	c := restful.NewContainer()
	c.Add(ws)
	return c
}

func (s *Server) health(_ *restful.Request, res *restful.Response) {
	writeJSON(res, struct {
		OK bool `json:"ok"`
	}{true})
}

func (s *Server) ready(_ *restful.Request, res *restful.Response) {
	reason := s.NotReadyReason()
	status := http.StatusOK
	if reason != "" {
		status = http.StatusServiceUnavailable
	}
	_ = res.WriteHeaderAndEntity(status, struct {
		Ready bool   `json:"ready"`
		Why   string `json:"why,omitempty"`
	}{reason == "", reason})
}

func (s *Server) metrics(_ *restful.Request, res *restful.Response) {
	writeJSON(res, s.Metrics.GetAll())
}

// textMetrics writes the metrics as text, one name and value per line, for tools
// that cannot read JSON. A histogram yields its count and quantiles.
func (s *Server) textMetrics(_ *restful.Request, res *restful.Response) {
	var lines []string
	add := func(name string, value any) { lines = append(lines, fmt.Sprintf("%s %v\n", name, value)) }
	s.Metrics.Each(func(name string, m any) {
		switch v := m.(type) {
		case metrics.Counter:
			add(name, v.Count())
		case metrics.Gauge:
			add(name, v.Value())
		case metrics.Histogram:
			h := v.Snapshot()
			add(name+".count", h.Count())
			for _, q := range []float64{0.5, 0.95, 0.99} {
				add(fmt.Sprintf("%s.p%.0f", name, 100*q), h.Percentile(q))
			}
		}
	})
	sort.Strings(lines)
	res.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(res, strings.Join(lines, ""))
}

func (s *Server) events(_ *restful.Request, res *restful.Response) {
	writeJSON(res, s.Tracer.Events())
}

func (s *Server) nodes(_ *restful.Request, res *restful.Response) {
	writeJSON(res, s.Nodes())
}

func (s *Server) targets(req *restful.Request, res *restful.Response) {
	out := []TargetView{}
	for _, t := range s.Targets(req.QueryParameter("service")) {
		out = append(out, TargetView{
			Name: t.Name, Service: t.Service, Address: t.Address, Node: t.Node, Centre: t.Centre,
			State: t.State.String(), Trust: t.Trust.String(), Slots: t.Slots, Limit: t.Limit,
			Score: t.Score, Epoch: t.Epoch,
		})
	}
	writeJSON(res, out)
}

func (s *Server) workspaces(_ *restful.Request, res *restful.Response) {
	out := []WorkspaceView{}
	if index := s.Index(); index != nil {
		for _, w := range index.Fleet().Workspaces {
			view := WorkspaceView{Name: w.Name, Rate: w.Rate, Burst: w.Burst, Weight: max(w.Weight, 1)}
			for _, k := range w.Keys {
				view.Keys = append(view.Keys, k.Name)
			}
			out = append(out, view)
		}
	}
	writeJSON(res, out)
}

func (s *Server) quarantine(_ *restful.Request, res *restful.Response) {
	out := []QuarantineView{}
	for _, e := range s.Quarantine() {
		out = append(out, QuarantineView{e.Request.String(), e.Until, e.Crashes})
	}
	writeJSON(res, out)
}

func (s *Server) release(req *restful.Request, res *restful.Response) {
	request, err := messenger.ParseFingerprint(req.PathParameter("request"))
	if err != nil || !s.Release(request) {
		res.WriteHeader(http.StatusNotFound)
		return
	}
	res.WriteHeader(http.StatusNoContent)
}

func (s *Server) configuration(_ *restful.Request, res *restful.Response) {
	var number uint64
	if index := s.Index(); index != nil {
		number = index.Number
	}
	writeJSON(res, struct {
		Number uint64 `json:"number"`
		Digest string `json:"digest"`
	}{number, s.Digest()})
}

// declaration writes the declaration in force as declarer prints it. It contains
// the digests of keys, never the keys.
func (s *Server) declaration(_ *restful.Request, res *restful.Response) {
	index := s.Index()
	if index == nil {
		writeRefusal(res, coder.New(coder.NoConfiguration, ""))
		return
	}
	res.Header().Set("Content-Type", restful.MIME_JSON)
	_ = index.Fleet().Print(res)
}

func (s *Server) announce(req *restful.Request, res *restful.Response) {
	req.Request.Body = http.MaxBytesReader(res, req.Request.Body, maxAnnouncementBytes)
	var body struct {
		Slots int    `json:"slots"`
		State string `json:"state"`
		TTL   int64  `json:"ttl"` // milliseconds
		Epoch uint64 `json:"epoch"`
	}
	// The Content-Type is ignored, since curl sends JSON as a form by default.
	d := json.NewDecoder(req.Request.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		writeRefusal(res, coder.New(coder.BadAnnouncement, "%v", err))
		return
	}
	state, ok := messenger.ParseState(body.State)
	if !ok {
		writeRefusal(res, coder.New(coder.BadAnnouncement, "state %.20q is not warm, cold or draining", body.State))
		return
	}
	err := s.Registrar.Announce(targetregistrar.Announcement{
		Service: req.PathParameter("service"), Address: req.PathParameter("address"), Slots: body.Slots,
		State: state, TTL: time.Duration(body.TTL) * time.Millisecond, Epoch: body.Epoch,
	})
	if err != nil {
		writeRefusal(res, coder.Of(err))
		return
	}
	res.WriteHeader(http.StatusNoContent)
}

func (s *Server) withdraw(req *restful.Request, res *restful.Response) {
	known, err := s.Registrar.Withdraw(req.PathParameter("service"), req.PathParameter("address"))
	switch {
	case err != nil:
		writeRefusal(res, coder.Of(err))
	case !known:
		res.WriteHeader(http.StatusNotFound)
	default:
		res.WriteHeader(http.StatusNoContent)
	}
}

// writeJSON sends v. It ignores errors, which mean that the client disconnected.
func writeJSON(res *restful.Response, v any) { _ = res.WriteAsJson(v) }

func writeRefusal(res *restful.Response, e *coder.Error) {
	row := coder.Lookup(e.Code)
	res.Header().Set(codeHeader, strconv.Itoa(int(row.Code)))
	_ = res.WriteHeaderAndJson(row.Status, struct {
		Code   coder.Code `json:"code"`
		Name   string     `json:"name"`
		Text   string     `json:"text"`
		Detail string     `json:"detail"`
	}{row.Code, row.Name, row.Text, e.Detail}, restful.MIME_JSON)
}
