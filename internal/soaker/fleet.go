package soaker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/loader"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// Ports of a VM: those of a node by default, its target, and the breakers.
const (
	callersPort, adminPort    = 7401, 7403
	targetPort, announcedPort = 9001, 9002
	storePort                 = 7400
)

// The fleet that is declared. Targets bear several times the load of a run, so
// that only faults make requests fail.
const (
	service, region, centre = "booking", "here", "one"
	secret                  = "soak-secret-0123456789-0123456789"
	slots, cold             = 6, 2
	workTime                = 20 * time.Millisecond
	deadline                = 2_000 // milliseconds
	clubKey, oldKey         = "soak-club", "soak-club-old"
	clubRate                = 1_000 // requests a second, and burst
	// The shop sends three times its rate.
	shopKey              = "soak-shop"
	shopRate, shopBurst  = 5, 10
	shopPath, clubPath   = "/shop", "/club"
	openPath, bookedPath = "/open", "/book"
)

const (
	// askTimeout bounds a question to a stand-in or a node's admin address.
	askTimeout = 2 * time.Second
	// runsTimeout bounds the reading of a target's log of some thousand runs.
	runsTimeout = 10 * time.Second
	// changeTimeout is longer than any step that keeps the store away.
	changeTimeout = 20 * time.Second
	changePause   = 500 * time.Millisecond
	// stopWithin is above a node's own bound on its stop, 30 s, and
	// targetStopWithin above the 2 s for which a target drains.
	stopWithin       = 40 * time.Second
	targetStopWithin = 10 * time.Second
	// killWithin bounds the end of a killed process.
	killWithin = 5 * time.Second
	// coldTime is how long a restarted target is cold.
	coldTime    = 3 * time.Second
	coldAtStart = `{"cold":2}`
	// whole resets the switches of a target, sound those of the store, which
	// keeps what is not named.
	whole = `{}`
	sound = `{"down":false,"lose":false,"deaf":false,"slow":0}`
	// goneStatus is what a breaker says of a process that is not there.
	goneStatus = 521
	notThere   = "HTTP/1.1 521 Gone\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// vm is a node with its target, and the paths around them.
type vm struct {
	node, target              *process
	ip                        string
	callers, lookup, toTarget *Breaker
}

// fleet is all processes of a run.
type fleet struct {
	dir, program string
	net          string // the first two numbers of the run's addresses
	store        *process
	vms          []*vm
	client       *http.Client
	changes      int

	mu     sync.Mutex
	runs   []faker.Run
	counts []faker.TargetCounts
}

func newFleet(program, dir, net string, nodes int) *fleet {
	f := &fleet{dir: dir, program: program, net: net, client: &http.Client{Timeout: askTimeout}}
	f.store = f.process("store", "store", "--address", f.storeAddress())
	var seeds []string
	for i := range nodes {
		seeds = append(seeds, fmt.Sprintf("n%d=%s.%d.1:7402", i, net, i))
	}
	for i := range nodes {
		f.vms = append(f.vms, f.vm(i, strings.Join(seeds, ",")))
	}
	return f
}

func (f *fleet) storeAddress() string { return fmt.Sprintf("%s.250.1:%d", f.net, storePort) }

func (f *fleet) process(name string, args ...string) *process {
	return &process{name: name, program: f.program, dir: f.dir, args: args}
}

func (f *fleet) vm(i int, seeds string) *vm {
	v := &vm{ip: fmt.Sprintf("%s.%d.1", f.net, i)}
	beside := func(host, port int) string { return fmt.Sprintf("%s.%d.%d:%d", f.net, i, host, port) }
	v.callers = &Breaker{Listen: beside(2, callersPort), To: beside(1, callersPort), Gone: notThere}
	v.lookup = &Breaker{Listen: beside(3, storePort), To: f.storeAddress()}
	v.toTarget = &Breaker{Listen: beside(1, announcedPort), To: beside(1, targetPort)}
	v.node = f.process(fmt.Sprintf("n%d", i), "node", "--name", fmt.Sprintf("n%d", i), "--centre", centre, "--region", region,
		"--address", v.ip, "--store", "http://"+v.lookup.Listen, "--secret", secret, "--seeds", seeds)
	v.target = f.process(fmt.Sprintf("t%d", i), "target", "--service", service, "--address", beside(1, targetPort),
		"--as", v.toTarget.Listen, "--admin", beside(1, adminPort), "--slots", fmt.Sprint(slots), "--time", workTime.String(),
		"--seed", fmt.Sprint(i+1))
	return v
}

// start brings everything up.
func (f *fleet) start(ctx context.Context) error {
	err := f.store.start()
	for _, v := range f.vms {
		for _, b := range []*Breaker{v.callers, v.lookup, v.toTarget} {
			err = errors.Join(err, b.Run(ctx))
		}
	}
	if err != nil {
		return err
	}
	if err := f.change(ctx); err != nil {
		return err
	}
	for _, v := range f.vms {
		err = errors.Join(err, v.node.start(), v.target.start())
	}
	return err
}

// close ends all processes of the run.
func (f *fleet) close() {
	for _, v := range f.vms {
		for _, p := range []*process{v.node, v.target} {
			if p.starts > 0 {
				_ = p.end(syscall.SIGKILL, killWithin) // also ends a paused one
			}
		}
	}
	_ = f.store.end(syscall.SIGKILL, killWithin)
}

// declaration is the n-th of a run. The first one has a key that the second
// withdraws; later ones differ in a weight.
func declaration(n int) declarer.Fleet {
	club := declarer.Workspace{Name: "club", Rate: clubRate, Burst: clubRate, Weight: 1 + n%2}.WithKey("new", clubKey)
	if n == 0 {
		club = club.WithKey("old", oldKey)
	}
	route := func(name, path string) declarer.Route {
		return declarer.Route{Name: name, Path: path, Service: service, Deadline: deadline}
	}
	open, book := route("open", openPath), route("book", bookedPath)
	open.Open, book.Once = true, true
	return declarer.Fleet{}.WithCentre(declarer.Centre{Name: centre, Region: region}).
		WithService(declarer.Service{Name: service, Slots: slots, Cold: cold, Floor: 0.5, Echo: true}).
		WithWorkspace(club).
		WithWorkspace(declarer.Workspace{Name: "shop", Rate: shopRate, Burst: shopBurst}.WithKey("new", shopKey)).
		WithRoute(open).WithRoute(book).WithRoute(route("club", clubPath)).WithRoute(route("shop", shopPath))
}

// Indices of the calls in the plan.
const (
	openCall = iota
	clubCall
	bookCall
	oldCall
	shopCall
)

func calls() []loader.Call {
	return []loader.Call{
		openCall: {Name: "open", Method: "GET", Path: openPath, Weight: 5, Size: 2_000},
		clubCall: {Name: "club", Method: "GET", Path: clubPath, Key: clubKey, Workspace: "club", Weight: 4},
		bookCall: {Name: "book", Method: "POST", Path: bookedPath, Key: clubKey, Workspace: "club", Weight: 5, Once: true},
		oldCall:  {Name: "old key", Method: "GET", Path: clubPath, Key: oldKey, Workspace: "club", Weight: 1},
		shopCall: {Name: "shop", Method: "GET", Path: shopPath, Key: shopKey, Workspace: "shop", Weight: 4},
	}
}

// change puts the next declaration in force. While the store is away it goes on
// trying.
func (f *fleet) change(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, changeTimeout)
	defer stop()
	s := storer.Dial("http://"+f.storeAddress(), f.client)
	n := f.changes
	f.changes++
	for {
		h, err := configurer.Current(ctx, s)
		if err == nil {
			if _, err = configurer.Apply(ctx, s, h.Number, declaration(n), fmt.Sprint("change ", n)); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(changePause):
		}
	}
}

// put sets the switches of a stand-in.
func (f *fleet) put(ctx context.Context, to, faults string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, to, strings.NewReader(faults))
	if err != nil {
		return err
	}
	res, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("soaker: %s answered %d", to, res.StatusCode)
	}
	return nil
}

// get reads a page of JSON.
func (f *fleet) get(ctx context.Context, from string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, from, nil)
	if err != nil {
		return err
	}
	res, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, out)
}

// read keeps what a target logged, before its process ends.
func (f *fleet) read(ctx context.Context, v *vm) error {
	ctx, stop := context.WithTimeout(ctx, runsTimeout)
	defer stop()
	var runs []faker.Run
	var counts faker.TargetCounts
	base := fmt.Sprintf("http://%s:%d/v1/fake/", v.ip, targetPort)
	if err := errors.Join(f.get(ctx, base+"runs", &runs), f.get(ctx, base+"counts", &counts)); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs, f.counts = append(f.runs, runs...), append(f.counts, counts)
	return nil
}

// number returns the configuration in force at a node, 0 for none.
func (f *fleet) number(ctx context.Context, v *vm) (uint64, error) {
	var out struct {
		Number uint64 `json:"number"`
	}
	err := f.get(ctx, fmt.Sprintf("http://%s:%d/v1/configuration", v.ip, adminPort), &out)
	return out.Number, err
}
