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
	"github.com/zinniaproxy/zinniaproxy/internal/loadgenerator"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// Ports of a VM: the node's defaults, the target's, and those of the fault proxies.
const (
	callersPort, adminPort    = 7401, 7403
	targetPort, announcedPort = 9001, 9002
	storePort                 = 7400
)

// The declared fleet. Targets have several times the capacity that a run needs,
// so that only faults make requests fail.
const (
	service, region, centre = "booking", "here", "one"
	secret                  = "soak-secret-0123456789-0123456789"
	targetSlots, coldLimit  = 6, 2
	targetServiceTime       = 20 * time.Millisecond
	deadlineMillis          = 2_000
	clubKey, oldClubKey     = "soak-club", "soak-club-old"
	clubRatePerSecond       = 1_000 // also the burst
	// The shop sends three times its rate.
	shopKey                      = "soak-shop"
	shopRatePerSecond, shopBurst = 5, 10
	shopPath, clubPath           = "/shop", "/club"
	openPath, bookPath           = "/open", "/book"
)

const (
	// requestTimeout bounds a request to the store, a target or a node's admin
	// address.
	requestTimeout = 2 * time.Second
	// runLogTimeout bounds the read of a target's log of some thousand runs.
	runLogTimeout = 10 * time.Second
	// changeTimeout is longer than any step that makes the store unavailable.
	changeTimeout       = 20 * time.Second
	changeRetryInterval = 500 * time.Millisecond
	// maxRestoreOutage bounds how long the store is away before it is restored, and
	// fleetRestoreTime how long the fleet may then take to write its configuration
	// again.
	maxRestoreOutage = 2 * time.Second
	fleetRestoreTime = 3 * time.Second
	// nodeStopTimeout exceeds the node's own shutdown limit of 30 s, and
	// targetStopTimeout the 2 s for which a target drains.
	nodeStopTimeout   = 40 * time.Second
	targetStopTimeout = 10 * time.Second
	// killTimeout bounds the wait for the exit of a killed process.
	killTimeout = 5 * time.Second
	// targetColdTime is how long a restarted target is cold.
	targetColdTime  = 3 * time.Second
	coldStartFaults = `{"cold":2}`
	// noTargetFaults clears a target's faults, and noStoreFaults the store's. The
	// store keeps the value of each fault that is not named.
	noTargetFaults = `{}`
	noStoreFaults  = `{"down":false,"lose":false,"deaf":false,"slow":0}`
	// unreachableStatus is the status with which a fault proxy answers when the
	// node's process is not running.
	unreachableStatus   = 521
	unreachableResponse = "HTTP/1.1 521 Gone\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// vm is a node with its target, and the fault proxies on their network paths.
type vm struct {
	node, target                          *process
	ip                                    string
	callersProxy, storeProxy, targetProxy *FaultProxy
}

// fleet holds all processes of a run.
type fleet struct {
	dir, program  string
	addressPrefix string // the first two octets of the run's addresses, such as "127.80"
	store         *process
	vms           []*vm
	client        *http.Client
	changeCount   int

	mu     sync.Mutex
	runs   []faker.Run
	counts []faker.TargetCounts
}

func newFleet(program, dir, addressPrefix string, nodes int) *fleet {
	f := &fleet{dir: dir, program: program, addressPrefix: addressPrefix, client: &http.Client{Timeout: requestTimeout}}
	f.store = f.newProcess("store", "store", "--address", f.storeAddress())
	var seeds []string
	for i := range nodes {
		seeds = append(seeds, fmt.Sprintf("n%d=%s.%d.1:7402", i, addressPrefix, i))
	}
	for i := range nodes {
		f.vms = append(f.vms, f.newVM(i, strings.Join(seeds, ",")))
	}
	return f
}

func (f *fleet) storeAddress() string { return fmt.Sprintf("%s.250.1:%d", f.addressPrefix, storePort) }

func (f *fleet) newProcess(name string, args ...string) *process {
	return &process{name: name, program: f.program, dir: f.dir, args: args}
}

func (f *fleet) newVM(i int, seeds string) *vm {
	v := &vm{ip: fmt.Sprintf("%s.%d.1", f.addressPrefix, i)}
	addressOf := func(host, port int) string { return fmt.Sprintf("%s.%d.%d:%d", f.addressPrefix, i, host, port) }
	v.callersProxy = &FaultProxy{Listen: addressOf(2, callersPort), Upstream: addressOf(1, callersPort), UnreachableResponse: unreachableResponse}
	v.storeProxy = &FaultProxy{Listen: addressOf(3, storePort), Upstream: f.storeAddress()}
	v.targetProxy = &FaultProxy{Listen: addressOf(1, announcedPort), Upstream: addressOf(1, targetPort)}
	v.node = f.newProcess(fmt.Sprintf("n%d", i), "node", "--name", fmt.Sprintf("n%d", i), "--centre", centre, "--region", region,
		"--address", v.ip, "--store", "http://"+v.storeProxy.Listen, "--secret", secret, "--seeds", seeds)
	v.target = f.newProcess(fmt.Sprintf("t%d", i), "target", "--service", service, "--address", addressOf(1, targetPort),
		"--as", v.targetProxy.Listen, "--admin", addressOf(1, adminPort), "--slots", fmt.Sprint(targetSlots), "--time", targetServiceTime.String(),
		"--seed", fmt.Sprint(i+1))
	return v
}

// start starts the store, the fault proxies, the nodes and the targets, and
// applies the first declaration. It does not wait until nodes serve requests.
func (f *fleet) start(ctx context.Context) error {
	err := f.store.start()
	for _, v := range f.vms {
		for _, proxy := range []*FaultProxy{v.callersProxy, v.storeProxy, v.targetProxy} {
			err = errors.Join(err, proxy.Run(ctx))
		}
	}
	if err != nil {
		return err
	}
	if err := f.applyNextDeclaration(ctx); err != nil {
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
			if p.startCount > 0 {
				_ = p.terminate(syscall.SIGKILL, killTimeout) // a paused process handles no other signal
			}
		}
	}
	_ = f.store.terminate(syscall.SIGKILL, killTimeout)
}

// unexpectedExits describes the processes that ended by themselves.
func (f *fleet) unexpectedExits() []string {
	processes := []*process{f.store}
	for _, v := range f.vms {
		processes = append(processes, v.node, v.target)
	}
	var out []string
	for _, p := range processes {
		p.mu.Lock()
		out = append(out, p.exits...)
		p.mu.Unlock()
	}
	return out
}

// declaration returns the n-th declaration of a run, from 0. The first has a key
// that the second withdraws; later ones differ only in a weight.
func declaration(n int) declarer.Fleet {
	club := declarer.Workspace{Name: "club", Rate: clubRatePerSecond, Burst: clubRatePerSecond, Weight: 1 + n%2}.WithKey("new", clubKey)
	if n == 0 {
		club = club.WithKey("old", oldClubKey)
	}
	route := func(name, path string) declarer.Route {
		return declarer.Route{Name: name, Path: path, Service: service, Deadline: deadlineMillis}
	}
	openRoute, bookRoute := route("open", openPath), route("book", bookPath)
	openRoute.Open, bookRoute.Once = true, true
	return declarer.Fleet{}.WithCentre(declarer.Centre{Name: centre, Region: region}).
		WithService(declarer.Service{Name: service, Slots: targetSlots, Cold: coldLimit, Floor: 0.5, Echo: true}).
		WithWorkspace(club).
		WithWorkspace(declarer.Workspace{Name: "shop", Rate: shopRatePerSecond, Burst: shopBurst}.WithKey("new", shopKey)).
		WithRoute(openRoute).WithRoute(bookRoute).WithRoute(route("club", clubPath)).WithRoute(route("shop", shopPath))
}

// Indices of the calls in the load plan.
const (
	openCall = iota
	clubCall
	bookCall
	oldKeyCall
	shopCall
)

func calls() []loadgenerator.Call {
	return []loadgenerator.Call{
		openCall:   {Name: "open", Method: "GET", Path: openPath, Weight: 5, Size: 2_000},
		clubCall:   {Name: "club", Method: "GET", Path: clubPath, Key: clubKey, Workspace: "club", Weight: 4},
		bookCall:   {Name: "book", Method: "POST", Path: bookPath, Key: clubKey, Workspace: "club", Weight: 5, Once: true},
		oldKeyCall: {Name: "old key", Method: "GET", Path: clubPath, Key: oldClubKey, Workspace: "club", Weight: 1},
		shopCall:   {Name: "shop", Method: "GET", Path: shopPath, Key: shopKey, Workspace: "shop", Weight: 4},
	}
}

// applyNextDeclaration writes the next declaration to the store. It retries for
// up to changeTimeout, since the store may be unavailable.
func (f *fleet) applyNextDeclaration(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, changeTimeout)
	defer stop()
	s := storer.Dial("http://"+f.storeAddress(), f.client)
	n := f.changeCount
	f.changeCount++
	for {
		head, err := configurer.StoredHead(ctx, s)
		if err == nil {
			if _, err = configurer.Apply(ctx, s, head.Number, declaration(n), fmt.Sprint("change ", n)); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(changeRetryInterval):
		}
	}
}

// restoreStore takes the store away for maxRestoreOutage at most and brings it back
// from a copy that was age old before. If the fleet does not write the declaration in
// force again, nobody had it yet, and the operator does so.
func (f *fleet) restoreStore(ctx context.Context, age time.Duration) error {
	s := storer.Dial("http://"+f.storeAddress(), f.client)
	before, err := configurer.StoredHead(ctx, s)
	if err != nil {
		return nil // another fault makes the store unavailable
	}
	base := "http://" + f.storeAddress()
	copied := time.Now().Add(-age)
	err = runThenUndo(ctx, min(age, maxRestoreOutage), func() error { return f.putFaults(ctx, base+"/v1/faults", `{"down":true}`) }, func() error {
		body := fmt.Sprintf(`{"copied":%q}`, copied.Format(time.RFC3339Nano))
		return errors.Join(f.send(ctx, http.MethodPost, base+"/v1/restore", body), f.putFaults(ctx, base+"/v1/faults", `{"down":false}`))
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, changeTimeout)
	defer stop()
	for began := time.Now(); ; time.Sleep(changeRetryInterval) {
		head, err := configurer.StoredHead(ctx, s)
		if err == nil && head.Number >= before.Number {
			return nil
		}
		if err == nil && time.Since(began) > fleetRestoreTime {
			n := f.changeCount - 1
			_, err = configurer.ApplyAbove(ctx, s, head.Number, before.Number, declaration(n), fmt.Sprintf("change %d again", n))
		}
		if ctx.Err() != nil {
			return fmt.Errorf("soaker: configuration %d is not in the restored store: %w", before.Number, errors.Join(err, ctx.Err()))
		}
	}
}

// putFaults sets the faults of a fake target or the fake store, as JSON.
func (f *fleet) putFaults(ctx context.Context, url, faults string) error {
	return f.send(ctx, http.MethodPut, url, faults)
}

func (f *fleet) send(ctx context.Context, method, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	res, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("soaker: %s %s: status %d", method, url, res.StatusCode)
	}
	return nil
}

// getJSON decodes the JSON at url into out.
func (f *fleet) getJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
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

// collectTargetLog stores a target's runs and counts, which are lost when its
// process ends.
func (f *fleet) collectTargetLog(ctx context.Context, v *vm) error {
	ctx, stop := context.WithTimeout(ctx, runLogTimeout)
	defer stop()
	var runs []faker.Run
	var counts faker.TargetCounts
	base := fmt.Sprintf("http://%s:%d/v1/fake/", v.ip, targetPort)
	if err := errors.Join(f.getJSON(ctx, base+"runs", &runs), f.getJSON(ctx, base+"counts", &counts)); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs, f.counts = append(f.runs, runs...), append(f.counts, counts)
	return nil
}

// configurationNumber returns the number of the configuration in force at a node,
// 0 for none.
func (f *fleet) configurationNumber(ctx context.Context, v *vm) (uint64, error) {
	var out struct {
		Number uint64 `json:"number"`
	}
	err := f.getJSON(ctx, fmt.Sprintf("http://%s:%d/v1/configuration", v.ip, adminPort), &out)
	return out.Number, err
}
