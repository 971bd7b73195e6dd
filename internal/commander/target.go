package commander

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/pkg/announcer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	maxTargetSlots = 4_096
	// drainDuration is how long a stopping target announces that it is draining
	// before it stops listening.
	drainDuration = 2 * time.Second
)

type targetFlags struct {
	service, address, announceAddress, admin, faults string
	slots                                            int
	requestTime                                      time.Duration
	seed                                             uint64
}

func (c *Commander) target() *ffcli.Command {
	var f targetFlags
	return c.command("target", func(ctx context.Context, args []string) error {
		if err := rejectArguments(args); err != nil {
			return err
		}
		return c.runTarget(ctx, f)
	}, func(set *flag.FlagSet) {
		set.StringVar(&f.service, "service", "", "name of the service")
		set.StringVar(&f.address, "address", "", "IP and port to listen at")
		set.StringVar(&f.announceAddress, "as", "", "IP and port to announce, if other than the address")
		set.StringVar(&f.admin, "admin", "", "admin address of the node on this VM; empty announces nothing")
		set.IntVar(&f.slots, "slots", 7, "how many requests run at once")
		set.DurationVar(&f.requestTime, "time", 10*time.Millisecond, "how long a request takes")
		set.Uint64Var(&f.seed, "seed", 1, "seed of the random faults")
		set.StringVar(&f.faults, "faults", "", "faults at the start, as JSON")
	})
}

func (f targetFlags) check() error {
	if f.service == "" {
		return coder.New(coder.BadSettings, "service: must name a service")
	}
	if _, err := netip.ParseAddrPort(f.address); err != nil {
		return coder.New(coder.BadSettings, "address: %.80q: must be an IP and a port", f.address)
	}
	if _, err := netip.ParseAddrPort(f.announceAddress); err != nil && f.announceAddress != "" {
		return coder.New(coder.BadSettings, "as: %.80q: must be an IP and a port", f.announceAddress)
	}
	if _, err := netip.ParseAddrPort(f.admin); err != nil && f.admin != "" {
		return coder.New(coder.BadSettings, "admin: %.80q: must be an IP and a port", f.admin)
	}
	if f.slots < 1 || f.slots > maxTargetSlots {
		return coder.New(coder.BadSettings, "slots: %d: must be 1 to %d", f.slots, maxTargetSlots)
	}
	if f.requestTime < 0 || f.requestTime > time.Minute {
		return coder.New(coder.BadSettings, "time: %v: must be 0s to 1m", f.requestTime)
	}
	return nil
}

func (c *Commander) runTarget(ctx context.Context, f targetFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	fake := faker.NewTarget(f.service+"@"+f.address, f.slots, f.requestTime, f.seed)
	var faults faker.TargetFaults
	if err := parseFaults(f.faults, &faults); err != nil {
		return err
	}
	fake.SetFaults(faults)
	s, err := startServer(f.address, fake.Handler())
	if err != nil {
		return err
	}
	if err := c.printf("target of %s at http://%s\n", f.service, f.address); err != nil {
		return err
	}
	return c.announceUntilStopped(ctx, f, fake, s)
}

// announceUntilStopped keeps the target announced until ctx ends or the server
// fails, then drains and stops it.
func (c *Commander) announceUntilStopped(ctx context.Context, f targetFlags, fake *faker.Target, s *server) error {
	var leaving atomic.Bool
	changed := make(chan struct{}, 1)
	a := &announcer.Announcer{
		Node: f.admin, Service: f.service, Address: cmp.Or(f.announceAddress, f.address), Slots: f.slots,
		Epoch: uint64(time.Now().UnixMilli()), Changed: changed, Client: newHTTPClient(),
		State:  func() announcer.State { return announcedState(fake.Faults(), leaving.Load()) },
		Failed: func(err error) { _, _ = fmt.Fprintln(c.Err, "announcement failed:", err) },
	}
	announceCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	if f.admin != "" {
		wg.Go(func() { _ = a.Run(announceCtx) })
	}
	err := s.wait(ctx)
	if leaving.Store(true); f.admin != "" {
		changed <- struct{}{}
		time.Sleep(drainDuration)
	}
	err = errors.Join(err, s.shutdown())
	stop()
	wg.Wait()
	return err
}

// announcedState returns the state that the target announces. A target with the
// fault Mislead announces itself as warm although it is cold.
func announcedState(f faker.TargetFaults, leaving bool) announcer.State {
	switch {
	case leaving || f.Draining:
		return announcer.Draining
	case f.Cold > 0 && !f.Mislead:
		return announcer.Cold
	}
	return announcer.Warm
}
