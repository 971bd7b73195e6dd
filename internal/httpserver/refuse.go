package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// handleReadError handles a failed read of a request. It refuses a request that
// is malformed, too large or has no room, and cancels the connection when it
// broke.
func (k *conn) handleReadError(err error) {
	var refusal *coder.Error
	switch {
	case k.isEvicted():
		k.refuseOverloaded()
	case errors.As(err, &refusal) && refusal.Code == coder.Overloaded:
		k.server.refused(RefusedMemory)
		k.refuseOverloaded()
	case errors.Is(err, errHeadTooLarge):
		k.server.refused(RefusedHead)
		k.refuse(http.StatusRequestHeaderFieldsTooLarge, "the request head is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		if !k.isInterrupted() {
			k.server.refused(RefusedSender)
		}
		k.cancel()
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &refusal):
		k.cancel()
	default:
		var ne net.Error
		if errors.As(err, &ne) || errors.Is(err, net.ErrClosed) {
			k.cancel()
			return
		}
		k.refuse(http.StatusBadRequest, "the request is malformed")
	}
}

// refuse answers an invalid request after all earlier ones and then closes the
// connection.
func (k *conn) refuse(status int, reason string) {
	k.refuseWith(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, reason, status) })
}

// refuseOverloaded answers a request that has not run for lack of room.
func (k *conn) refuseOverloaded() {
	if k.server.Overloaded != nil {
		k.refuseWith(k.server.Overloaded)
		return
	}
	k.refuse(http.StatusServiceUnavailable, "overloaded")
}

func (k *conn) refuseWith(respond func(http.ResponseWriter, *http.Request)) {
	w := k.enqueue(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, RemoteAddr: k.netConn.RemoteAddr().String()}, nil)
	w.close = true
	k.slots <- struct{}{}
	go func() {
		defer func() { <-k.slots }()
		if k.begin(w) {
			respond(w, w.request)
			w.finish()
		} else {
			w.awaitTurn()
		}
		k.markAnswered(w)
		w.owner.Close()
		close(w.done)
	}()
}
