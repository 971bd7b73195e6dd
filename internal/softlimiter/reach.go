package softlimiter

import (
	"context"
	"time"
)

const (
	// reachValidity is how long a count of the reached nodes is used. Without need
	// for a count only sampleSize random nodes are probed with each claim: the
	// nodes that claims go to may be cut off along with this one.
	reachValidity = 300 * time.Millisecond
	sampleSize    = 3
)

// reach is the last count of the nodes that this one reaches.
type reach struct {
	half      bool
	countedAt time.Time
	// counting is closed at the end of the count in progress. It is nil while
	// there is none.
	counting chan struct{}
}

// reachesSample reports whether some random nodes all reply.
func (l *Limiter) reachesSample() bool {
	names := l.witnesses("")
	names = names[:min(len(names), sampleSize)]
	replies := make(chan probeReply, len(names))
	for _, name := range names {
		go func() { replies <- l.probe(context.Background(), "", name) }()
	}
	for range names {
		if r := <-replies; !r.replied {
			return false
		}
	}
	return true
}

// reachesHalf reports whether this node reaches at least half of the running
// nodes, itself included. Otherwise more than half may agree that it is gone.
func (l *Limiter) reachesHalf() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for time.Since(l.reach.countedAt) >= reachValidity {
		counting := l.reach.counting
		if counting == nil {
			counting = make(chan struct{})
			l.reach.counting = counting
			go l.countReached()
		}
		l.mu.Unlock()
		<-counting
		l.mu.Lock()
	}
	return l.reach.half
}

// countReached counts the nodes that answer.
func (l *Limiter) countReached() {
	names := l.witnesses("")
	replies := make(chan probeReply, len(names))
	for _, name := range names {
		go func() { replies <- l.probe(context.Background(), "", name) }()
	}
	reached, total := 1, len(names)+1
	for range names {
		if 2*reached >= total {
			break
		}
		if r := <-replies; r.replied {
			reached++
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.reach.counting)
	l.reach = reach{half: 2*reached >= total, countedAt: time.Now()}
}
