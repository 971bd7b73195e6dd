package faker

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Header fields and query parameters of a fake target, and limits.
const (
	// TokenHeader carries the caller's ID of a request.
	TokenHeader = "Token"
	// sizeParameter is the size of Response.Data in bytes, at most maxDataBytes.
	sizeParameter       = "size"
	requestHeader       = "Zinnia-Request"
	workspaceHeader     = "Zinnia-Workspace"
	ranHeader           = "Zinnia-Ran"
	maxDataBytes        = 16 << 20
	maxRequestBodyBytes = 16 << 20
)

// Handler serves all requests as the target, except for the endpoints below
// /v1/fake: GET and PUT faults, GET counts, runs, health and load.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/fake/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Faults()) })
	mux.HandleFunc("PUT /v1/fake/faults", t.serveSetFaults)
	mux.HandleFunc("GET /v1/fake/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Counts()) })
	mux.HandleFunc("GET /v1/fake/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Runs()) })
	mux.HandleFunc("GET /v1/fake/health", t.serveHealth)
	mux.HandleFunc("GET /v1/fake/load", t.serveLoad)
	mux.HandleFunc("/", t.serve)
	return mux
}

func (t *Target) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f TargetFaults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
}

// maxFaultsBodyBytes bounds the body of PUT /v1/fake/faults.
const maxFaultsBodyBytes = 4 << 10

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	f := t.Faults()
	faulty := f.Slow > 1 || f.Errors > 0 || f.Truncate > 0 || f.Hang > 0 || f.Cold > 0
	if faulty && !f.Mislead {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	inFlight := t.InFlight()
	if t.Faults().Mislead {
		inFlight = 0
	}
	writeJSON(w, struct {
		InFlight int `json:"flying"`
		Slots    int `json:"slots"`
	}{inFlight, t.Slots})
}

// serve runs one request, or rejects it as not run.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !t.admit(r.Context()) {
		w.Header().Set(ranHeader, "no")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(requestHeader, r.Header.Get(requestHeader))
	e := t.beginRun(runFromRequest(r))
	canceled := true
	defer func() { t.endRun(canceled) }()
	if e.hang {
		<-r.Context().Done()
		return
	}
	timer := time.NewTimer(e.serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		canceled = false
	case <-r.Context().Done():
		return
	}
	if e.fail {
		http.Error(w, "stand-in fault", http.StatusInternalServerError)
		return
	}
	t.writeResponse(w, r, body, e)
}

func runFromRequest(r *http.Request) Run {
	return Run{
		Request: r.Header.Get(requestHeader), Token: r.Header.Get(TokenHeader), Workspace: r.Header.Get(workspaceHeader),
		Method: r.Method, Path: r.URL.Path, HasKey: r.Header.Get("Authorization") != "" || r.Header.Get("Zinnia-Key") != "",
	}
}

// writeResponse writes the response, or writes half of it and closes the
// connection.
func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, body []byte, e effects) {
	size, _ := strconv.Atoi(r.URL.Query().Get(sizeParameter))
	run := runFromRequest(r)
	encoded, err := json.Marshal(Response{
		Target: t.Name, Request: run.Request, Token: run.Token, Workspace: run.Workspace,
		Body: digest(string(body)), Data: strings.Repeat("z", min(max(size, 0), maxDataBytes)),
	}.withChecksum())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if t.Faults().Chunked {
		w.Header().Set("Transfer-Encoding", "chunked")
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	}
	if !e.truncate {
		_, _ = w.Write(encoded)
		return
	}
	_, _ = w.Write(encoded[:len(encoded)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
