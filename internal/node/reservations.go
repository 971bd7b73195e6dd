package node

import (
	"context"
	"strconv"

	"github.com/zinniaproxy/zinniaproxy/internal/admitter"
	"github.com/zinniaproxy/zinniaproxy/internal/drainer"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/measurer"
	"github.com/zinniaproxy/zinniaproxy/internal/noter"
	"github.com/zinniaproxy/zinniaproxy/internal/reserver"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/internal/targetregistrar"
)

func newReservationServer(r *targetregistrar.Registrar, a *admitter.Admitter, dr *drainer.Drainer) *reserver.Server {
	return &reserver.Server{Lookup: r.Lookup, Enter: dr.Enter, Reserve: a.Reserve}
}

func newReserver(s settingsloader.Settings, l *linker.Linker, rs *reserver.Server, n *noter.Noter) *reserver.Client {
	return &reserver.Client{Self: s.Name, Local: rs, Open: l.Open, Statement: n.Statement}
}

// withEntry returns a handler whose context has the name of the querying node, to
// which the reservation of a call belongs.
func withEntry(h linker.Handler) linker.Handler {
	return func(ctx context.Context, q linker.Query, send func([]byte, bool) error) error {
		return h(exithandler.WithEntry(ctx, q.Peer), q, send)
	}
}

// registerQueueMetrics registers the gauges of queues by rank and of reservations.
func registerQueueMetrics(m *measurer.Measurer, a *admitter.Admitter) {
	for rank := range admitter.Ranks {
		m.Gauge("queue.waiting."+strconv.Itoa(rank), func() int64 { return int64(a.WaitingTickets()[rank]) })
		m.Gauge("queue.granted."+strconv.Itoa(rank), func() int64 { return a.GrantedSlots(rank) })
	}
	m.Gauge("reservations.granted", func() int64 { return a.ReservationCounts().Granted })
	m.Gauge("reservations.expired", func() int64 { return a.ReservationCounts().Expired })
	m.Gauge("reservations.withdrawn", func() int64 { return a.ReservationCounts().Withdrawn })
}
