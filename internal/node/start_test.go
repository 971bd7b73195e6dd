package node

import (
	"net/http"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/zinniaproxy/zinniaproxy/internal/measurer"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
)

// A node whose port for callers or for a further server is taken must end with an
// error, not hang with the servers that it has started.
func TestNodeWithTakenPortEnds(t *testing.T) {
	for _, taken := range []string{"a:80", "a:84"} {
		t.Run(taken, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "a")
				ln, err := f.network.Listen(taken)
				qt.Assert(t, err, qt.IsNil)
				p := Platform{
					Listen: f.network.Listen, ListenPackets: f.listenPackets, Dial: f.network.Dialer("a"), Log: logr.Discard(), Measurer: measurer.New(),
					ExtraServers: func(*Node) []ExtraServer {
						return []ExtraServer{{Address: "a:83", Handler: http.NotFoundHandler()}, {Address: "a:84", Handler: http.NotFoundHandler()}}
					},
				}
				p.Store = p.Measurer.InstrumentStore(f.store.Client())
				s := settingsloader.Settings{
					Name: "a", Centre: "one", Region: "test", Address: "a", Callers: "a:80", Link: "a:81", Admin: "a:82", Secret: "secret",
				}
				qt.Check(t, New(s, p).Run(t.Context()), qt.IsNotNil)
				_ = ln.Close()
				f.close()
			})
		})
	}
}
