package forwarder

import (
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Trial is one attempt of a request.
type Trial struct {
	// ID names the attempt.
	ID string
	// Target was chosen for it, on Node.
	Target, Node string
	// Epoch is the process of Node that the call was sent to; 0 when it was
	// not sent over a link.
	Epoch uint64
	// Sent is when the call was handed to the link.
	Sent time.Time
}

// Trials are the attempts of one request. Attempts may run at the same time.
type Trials struct {
	mu   sync.Mutex
	list []Trial
}

// pick chooses a target other than the ones tried so far, and adds the trial.
// When there is no other, one of them is tried again: what failed may have been
// the link, and the caller has nobody else.
func (ts *Trials) pick(id string, choose func(tried []string) (messenger.Target, error)) (messenger.Target, error) {
	tried := ts.targets()
	t, err := choose(tried)
	if err != nil && len(tried) > 0 && coder.Of(err).Code == coder.NoTarget {
		t, err = choose(nil)
	}
	if err == nil {
		ts.mu.Lock()
		defer ts.mu.Unlock()
		ts.list = append(ts.list, Trial{ID: id, Target: t.Name, Node: t.Node})
	}
	return t, err
}

// targets returns the targets tried so far.
func (ts *Trials) targets() []string {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	tried := make([]string, len(ts.list))
	for i := range ts.list {
		tried[i] = ts.list[i].Target
	}
	return tried
}

// sent notes the process that an attempt was sent to.
func (ts *Trials) sent(id string, epoch uint64) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for i := range ts.list {
		if ts.list[i].ID == id {
			ts.list[i].Epoch, ts.list[i].Sent = epoch, time.Now()
		}
	}
}

// Find returns the attempt of that ID.
func (ts *Trials) Find(id string) (Trial, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, t := range ts.list {
		if t.ID == id {
			return t, true
		}
	}
	return Trial{}, false
}
