package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/node"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/internal/viewer"
	"github.com/zinniaproxy/zinniaproxy/pkg/announcer"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

const (
	loopbackAddress    = "127.0.0.1"
	region             = "demo"
	requestTimeout     = 2 * time.Second
	pollInterval       = 20 * time.Millisecond
	convergenceTimeout = 10 * time.Second
	targetSlots        = 7
	targetServiceTime  = 8 * time.Millisecond
)

// vm is one VM of the demo: a node and its targets.
type vm struct {
	settings settingsloader.Settings
	targets  []*target
	stop     context.CancelFunc
	done     chan error
}

// target is a fake target and the announcer that keeps it registered.
type target struct {
	*faker.Target
	service, address, admin string
	server                  *http.Server
	stop                    context.CancelFunc
	done                    chan struct{}
}

// fleet holds the store, nodes and targets of the demo.
type fleet struct {
	demo  *Demonstrator
	store *faker.Store
	vms   []*vm
	// viewer queries the nodes' admin addresses.
	viewer *viewer.Viewer

	mu sync.Mutex
	// reserved holds listeners by address until their owner takes them.
	reserved map[string]net.Listener
	closers  []func()
}

// reserveAddress listens on a free port and returns its address. The listener
// stays open until listen takes it, so that no other process gets the port.
func (f *fleet) reserveAddress() (string, error) {
	ln, err := net.Listen("tcp", loopbackAddress+":0")
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserved[ln.Addr().String()] = ln
	return ln.Addr().String(), nil
}

// listen returns the reserved listener of an address, or a new one.
func (f *fleet) listen(address string) (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ln := f.reserved[address]; ln != nil {
		delete(f.reserved, address)
		return ln, nil
	}
	return net.Listen("tcp", address)
}

// startStore serves the fake store and returns its URL.
func (f *fleet) startStore() (string, error) {
	address, err := f.reserveAddress()
	if err != nil {
		return "", err
	}
	ln, err := f.listen(address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: requestTimeout}
	go func() { _ = s.Serve(ln) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return "http://" + address, nil
}

// makeSettings fills f.vms with the settings of all nodes. Every node has all
// nodes as seeds.
func (f *fleet) makeSettings(store string, centres []string, perCentre int, secret string) error {
	var seeds []string
	for _, centre := range centres {
		for i := range perCentre {
			s := settingsloader.Settings{
				Name: fmt.Sprintf("%s%d", centre, i+1), Centre: centre, Region: region, Address: loopbackAddress,
				Store: store, Secret: secret, Level: "error",
			}
			for _, field := range []*string{&s.Callers, &s.Link, &s.Admin} {
				var err error
				if *field, err = f.reserveAddress(); err != nil {
					return err
				}
			}
			seeds = append(seeds, s.Name+"="+s.Link)
			f.vms = append(f.vms, &vm{settings: s})
		}
	}
	for _, v := range f.vms {
		v.settings.Seeds = seeds
		if err := settingsloader.AsInvalidError(v.settings.Check()); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startNode(ctx context.Context, v *vm) {
	ctx, v.stop = context.WithCancel(ctx)
	v.done = make(chan error, 1)
	platform := node.NewPlatform(v.settings, f.demo.Log)
	platform.Listen = f.listen
	n := node.New(v.settings, platform)
	go func() { v.done <- n.Run(ctx) }()
}

// startTarget serves a fake target and announces it to the node of its VM.
func (f *fleet) startTarget(ctx context.Context, v *vm, service string, seed uint64) error {
	address, err := f.reserveAddress()
	if err != nil {
		return err
	}
	ln, err := f.listen(address)
	if err != nil {
		return err
	}
	t := &target{
		Target: faker.NewTarget(service+"@"+address, targetSlots, targetServiceTime, seed), service: service,
		address: address, admin: v.settings.Admin, done: make(chan struct{}),
	}
	t.server = &http.Server{Handler: t.Handler(), ReadHeaderTimeout: requestTimeout}
	go func() { _ = t.server.Serve(ln) }()
	v.targets = append(v.targets, t)
	t.announce(ctx)
	return nil
}

// announce keeps the target announced until t.stop is called.
func (t *target) announce(ctx context.Context) {
	ctx, t.stop = context.WithCancel(ctx)
	a := &announcer.Announcer{
		Node: t.admin, Service: t.service, Address: t.address, Slots: t.Slots,
		Epoch: uint64(time.Now().UnixMilli()), TTL: time.Second, Client: &http.Client{Timeout: requestTimeout},
		State: func() announcer.State {
			if t.Faults().Cold > 0 {
				return announcer.Cold
			}
			return announcer.Warm
		},
	}
	go func() {
		defer close(t.done)
		_ = a.Run(ctx)
	}()
}

func (f *fleet) storeClient() *storer.Store { return f.store.Client() }

// waitInForce waits until all nodes have at least configuration number and
// returns how long that took.
func (f *fleet) waitInForce(ctx context.Context, number uint64) (time.Duration, error) {
	start := time.Now()
	for time.Since(start) < convergenceTimeout {
		behind := 0
		viewer.QueryEach(ctx, f.adminAddresses(), f.viewer.Configuration, func(_ string, c viewer.Configuration, err error) {
			if err != nil || c.Number < number {
				behind++
			}
		})
		if behind == 0 {
			return time.Since(start), nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("configuration %d is not in force after %v", number, convergenceTimeout)
}

// waitForTargets waits until all nodes know the given number of targets.
func (f *fleet) waitForTargets(ctx context.Context, targets int) error {
	start := time.Now()
	for time.Since(start) < convergenceTimeout {
		behind := 0
		for _, admin := range f.adminAddresses() {
			known, err := f.viewer.Targets(ctx, admin, "")
			if err != nil || len(known) != targets {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return errors.New("some nodes do not know all targets in time")
}

// waitUntilServing waits until each node serves both workspaces.
func (f *fleet) waitUntilServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for _, v := range f.vms {
		for _, key := range []string{clubKey, shopKey} {
			for !f.serves(ctx, v.settings.Callers, key) {
				if err := sleep(ctx, pollInterval); err != nil {
					return fmt.Errorf("node %s does not serve requests after %v: %w", v.settings.Name, convergenceTimeout, err)
				}
			}
		}
	}
	return nil
}

// serves returns whether a request with key gets a target's response.
func (f *fleet) serves(ctx context.Context, entry, key string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/bookings", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := f.viewer.Client.Do(req)
	if err != nil {
		return false
	}
	return res.Body.Close() == nil && res.Header.Get("Zinnia-Code") == "0"
}

// adminAddresses returns the admin addresses of the running nodes.
func (f *fleet) adminAddresses() []string {
	var out []string
	for _, v := range f.vms {
		if v.stop != nil {
			out = append(out, v.settings.Admin)
		}
	}
	return out
}

// apply writes a declaration and waits until it is in force.
func (f *fleet) apply(ctx context.Context, d declarer.Fleet) (time.Duration, error) {
	number, err := f.demo.Apply(ctx, f.storeClient(), d)
	if err != nil {
		return 0, err
	}
	return f.waitInForce(ctx, number)
}

// stopVM stops the node gracefully, then the announcements of its targets. The
// targets keep running, so that their logs can still be read.
func (f *fleet) stopVM(v *vm) error {
	v.stop()
	err := <-v.done
	v.stop = nil
	for _, t := range v.targets {
		t.stop()
		<-t.done
	}
	return err
}

// close stops everything that is still running.
func (f *fleet) close() {
	var wg sync.WaitGroup
	for _, v := range f.vms {
		if v.stop != nil {
			wg.Go(func() { _ = f.stopVM(v) })
		}
	}
	wg.Wait()
	for _, v := range f.vms {
		for _, t := range v.targets {
			_ = t.server.Close()
		}
	}
	for _, stop := range f.closers {
		stop()
	}
	for _, ln := range f.reserved {
		_ = ln.Close()
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
