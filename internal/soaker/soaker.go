package soaker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/loader"
)

const (
	// loadRate is in requests a second, far below what the targets bear.
	loadRate = 60
	// startTimeout bounds the start of the fleet: rates are in force some 15 s
	// after the processes.
	startTimeout = 60 * time.Second
	// calmLoad is how long all must be well at the end.
	calmLoad = 5 * time.Second
	// watchEvery is how often the nodes' configuration is looked at.
	watchEvery = 500 * time.Millisecond
	probePause = 250 * time.Millisecond
)

// Soaker makes one run. Set the fields before Run.
type Soaker struct {
	// Program is the path of zinniaproxy, Dir takes logs and the report.
	Program, Dir string
	// Net is the first two numbers of the loopback addresses, such as "127.80".
	Net string
	// Shape says how large the run is.
	Shape Shape
	// Steps are done in place of those drawn, unless nil.
	Steps []Step

	fleet *fleet
	mu    sync.Mutex
	seen  Seen
	// locks let the steps at one node, and at the store, come one at a time.
	locks map[string]*sync.Mutex
}

// Run starts a fleet, breaks it under load and returns what was seen. An error
// tells that the run itself failed.
func (s *Soaker) Run(ctx context.Context) (*Seen, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if s.seen.Steps = s.Steps; s.Steps == nil {
		s.seen.Steps = Draw(s.Shape)
	}
	s.locks = map[string]*sync.Mutex{}
	s.fleet = newFleet(s.Program, s.Dir, s.Net, s.Shape.Nodes)
	defer s.fleet.close()
	if err := s.fleet.start(ctx); err != nil {
		return nil, err
	}
	if err := s.ready(ctx); err != nil {
		return nil, err
	}
	s.seen.Start = time.Now()
	s.seen.Calm = s.seen.Start.Add(s.Shape.Chaos + longest + s.Shape.Calm)
	go s.watch(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.play(ctx) })
	err := s.load(ctx)
	wg.Wait()
	for _, v := range s.fleet.vms {
		err = errors.Join(err, s.fleet.read(ctx, v))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen.Runs, s.seen.Counts = s.fleet.runs, s.fleet.counts
	return &s.seen, err
}

// ready waits until each node serves a request for a key.
func (s *Soaker) ready(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	for _, v := range s.fleet.vms {
		for !s.serves(ctx, v) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("soaker: %s does not serve %v after its start", v.node.name, startTimeout)
			case <-time.After(probePause):
			}
		}
	}
	return nil
}

func (s *Soaker) serves(ctx context.Context, v *vm) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.callers.Listen+clubPath, nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+clubKey)
	res, err := s.fleet.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// load sends requests until the calm time is over.
func (s *Soaker) load(ctx context.Context) error {
	plan := loader.Plan{Rate: loadRate, Seconds: (s.seen.Calm.Sub(s.seen.Start) + calmLoad).Seconds(), Calls: calls(), Seed: s.Shape.Seed}
	for _, v := range s.fleet.vms {
		plan.Entries = append(plan.Entries, v.callers.Listen)
	}
	l := &loader.Loader{Plan: plan, Seen: func(o loader.Outcome) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.seen.Outcomes = append(s.seen.Outcomes, o)
	}}
	_, err := l.Run(ctx)
	return err
}

// play does the steps at their times and waits for their ends.
func (s *Soaker) play(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, st := range s.seen.Steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(s.seen.Start.Add(st.At))):
		}
		s.lock(st)
		wg.Go(func() {
			l := s.lock(st)
			l.Lock()
			defer l.Unlock()
			begun := time.Since(s.seen.Start)
			if err := s.do(ctx, st); err != nil && ctx.Err() == nil {
				s.trouble(fmt.Sprintf("%s: %v", st, err))
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			// A step that waited for another at its place happened later.
			s.seen.Steps[i].At, s.seen.Steps[i].For = begun, time.Since(s.seen.Start)-begun
		})
	}
}

// lock returns what keeps steps at one place in a row.
func (s *Soaker) lock(st Step) *sync.Mutex {
	place := fmt.Sprint("node ", st.Node)
	switch st.Kind {
	case Store, Change:
		place = string(st.Kind)
	case Sick, Replace, Crash:
		place = fmt.Sprint("target ", st.Node)
	case Callers, Lookup, Target:
		place = fmt.Sprint(st.Kind, st.Node)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks[place] == nil {
		s.locks[place] = &sync.Mutex{}
	}
	return s.locks[place]
}

func (s *Soaker) trouble(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen.Trouble = append(s.seen.Trouble, text)
}

// do carries out one step, to its end.
func (s *Soaker) do(ctx context.Context, st Step) error {
	v := s.fleet.vms[st.Node]
	switch st.Kind {
	case Pause:
		return around(ctx, st.For, func() error { return v.node.signal(syscall.SIGSTOP) }, func() error { return v.node.signal(syscall.SIGCONT) })
	case Kill:
		return around(ctx, st.For, func() error { return v.node.end(syscall.SIGKILL, killWithin) }, func() error { return v.node.start() })
	case Stop:
		return around(ctx, st.For, func() error { return v.node.end(syscall.SIGTERM, stopWithin) }, func() error { return v.node.start() })
	case Reload:
		return v.node.signal(syscall.SIGHUP)
	case Change:
		return s.change(ctx)
	case Replace, Crash:
		return s.restart(ctx, v, st)
	case Sick:
		at := fmt.Sprintf("http://%s:%d/v1/fake/faults", v.ip, targetPort)
		return s.switched(ctx, st, at, whole)
	case Store:
		return s.switched(ctx, st, "http://"+s.fleet.storeAddress()+"/v1/faults", sound)
	}
	b := map[Kind]*Breaker{Callers: v.callers, Lookup: v.lookup, Target: v.toTarget}[st.Kind]
	return around(ctx, st.For, func() error { b.Set(st.Path); return nil }, func() error { b.Set(Path{}); return nil })
}

// around does one thing, and another after a while, also when ctx ends.
func around(ctx context.Context, d time.Duration, first, then func() error) error {
	err := first()
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	return errors.Join(err, then())
}

// switched sets the switches of a stand-in for a while.
func (s *Soaker) switched(ctx context.Context, st Step, at, after string) error {
	return around(ctx, st.For,
		func() error { return s.fleet.put(ctx, at, st.Faults) }, func() error { return s.fleet.put(ctx, at, after) })
}

// change puts another declaration in force; the first one withdraws the old key.
func (s *Soaker) change(ctx context.Context) error {
	err := s.fleet.change(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.seen.Withdrawn.IsZero() {
		s.seen.Withdrawn = time.Now()
	}
	return err
}

// restart ends a target, which comes back cold and is warm after a while.
func (s *Soaker) restart(ctx context.Context, v *vm, st Step) error {
	end := func() error { return v.target.end(syscall.SIGTERM, targetStopWithin) }
	if st.Kind == Crash {
		end = func() error { return v.target.end(syscall.SIGKILL, killWithin) }
	}
	err := s.fleet.read(ctx, v)
	err = errors.Join(err, around(ctx, st.For, end, func() error { return v.target.start("--faults", coldAtStart) }))
	return errors.Join(err, around(ctx, coldTime, func() error { return nil }, func() error {
		return s.fleet.put(ctx, fmt.Sprintf("http://%s:%d/v1/fake/faults", v.ip, targetPort), whole)
	}))
}

// watch looks for nodes whose configuration goes back, until ctx ends.
func (s *Soaker) watch(ctx context.Context) {
	newest := map[string]uint64{}
	for ctx.Err() == nil {
		for _, v := range s.fleet.vms {
			n, err := s.fleet.number(ctx, v)
			if err != nil || n == 0 {
				continue // the node is away, or knows none yet
			}
			if n < newest[v.ip] {
				s.mu.Lock()
				s.seen.Reverts = append(s.seen.Reverts, fmt.Sprintf("%s went from configuration %d back to %d", v.node.name, newest[v.ip], n))
				s.mu.Unlock()
			}
			newest[v.ip] = max(newest[v.ip], n)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchEvery):
		}
	}
}
