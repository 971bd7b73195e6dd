// Package demonstrator runs a whole fleet in one process on loopback, injects
// faults under traffic, and counts violations of the guarantees to callers.
package demonstrator

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/logger"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/internal/viewer"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// Layout of the demo's fleet.
const (
	centreA        = "east"
	centreB        = "west"
	nodesPerCentre = 3
	// changeGrace bounds how long after a change nodes may act on the old
	// configuration.
	changeGrace = 3 * time.Second
)

// Demonstrator runs the demo. Set the fields before Run.
type Demonstrator struct {
	// Out receives the report.
	Out io.Writer
	// Log receives the nodes' logs.
	Log *logger.Logger
	// Apply writes a declaration to the store and returns its configuration
	// number.
	Apply func(ctx context.Context, store *storer.Store, f declarer.Fleet) (uint64, error)
}

// Run runs the demo and returns whether every guarantee held.
func (d *Demonstrator) Run(ctx context.Context) (bool, error) {
	start := time.Now()
	f := &fleet{
		demo: d, store: faker.NewStore(), reserved: map[string]net.Listener{},
		viewer: &viewer.Viewer{Client: &http.Client{Timeout: requestTimeout}},
	}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return false, err
	}
	d.printf("%d nodes in 2 data centres, %d targets, ready in %.1f s\n\n", len(f.vms), 2*len(f.vms), time.Since(start).Seconds())
	s := newScenario(f)
	if err := s.run(ctx); err != nil {
		return false, err
	}
	allHeld, err := s.guarantees.write(d.Out)
	d.printf("\ntook %.1f s\n", time.Since(start).Seconds())
	return allHeld, err
}

// start starts the store, nodes and targets, and waits until every node serves
// requests.
func (f *fleet) start(ctx context.Context) error {
	store, err := f.startStore()
	if err != nil {
		return err
	}
	if err := f.makeSettings(store, []string{centreA, centreB}, nodesPerCentre, rand.Text()); err != nil {
		return err
	}
	for _, v := range f.vms {
		f.startNode(context.WithoutCancel(ctx), v)
	}
	if _, err := f.apply(ctx, declaration()); err != nil {
		return err
	}
	for i, v := range f.vms {
		for j, service := range []string{"booking", "guides"} {
			if err := f.startTarget(context.WithoutCancel(ctx), v, service, uint64(2*i+j+1)); err != nil {
				return err
			}
		}
	}
	if err := f.waitForTargets(ctx, 2*len(f.vms)); err != nil {
		return err
	}
	return f.waitUntilServing(ctx)
}

func (d *Demonstrator) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format, args...)
}
