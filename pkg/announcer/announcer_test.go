package announcer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// recordingTransport is an http.RoundTripper that records each request and
// responds 200.
type recordingTransport struct {
	requests []string
}

func (r *recordingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	r.requests = append(r.requests, strings.TrimSpace(req.Method+" "+req.URL.Path+" "+string(body)))
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
}

func TestRunReannouncesAndWithdraws(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r, changed := &recordingTransport{}, make(chan struct{})
		var state atomic.Value
		state.Store(Cold)
		a := &Announcer{
			Node: "127.0.0.1:1", Service: "booking", Address: "127.0.0.1:9", Slots: 7, Epoch: 5,
			State: func() State { return state.Load().(State) }, Changed: changed, Client: &http.Client{Transport: r},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- a.Run(ctx) }()
		time.Sleep(1500 * time.Millisecond)
		state.Store(Draining)
		changed <- struct{}{}
		synctest.Wait()
		cancel()
		c.Assert(<-done, qt.IsNil)
		c.Assert(r.requests, qt.DeepEquals, []string{
			`PUT /v1/targets/booking/127.0.0.1:9 {"slots":7,"state":"cold","ttl":3000,"epoch":5}`,
			`PUT /v1/targets/booking/127.0.0.1:9 {"slots":7,"state":"cold","ttl":3000,"epoch":5}`,
			`PUT /v1/targets/booking/127.0.0.1:9 {"slots":7,"state":"draining","ttl":3000,"epoch":5}`,
			`DELETE /v1/targets/booking/127.0.0.1:9`,
		})
	})
}

func TestAnnounceReturnsRefusalCode(t *testing.T) {
	c := qt.New(t)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Zinnia-Code", "601")
		http.Error(w, `{"code":601,"detail":"booking"}`, http.StatusNotFound)
	}))
	defer node.Close()
	a := &Announcer{Node: node.Listener.Addr().(*net.TCPAddr).String(), Service: "booking", Address: "127.0.0.1:9", Slots: 7}
	err := a.Announce(t.Context())
	c.Assert(coder.Of(err).Code, qt.Equals, coder.UnknownService)
	c.Assert(err, qt.ErrorMatches, "601 unknown-service: booking")
}
