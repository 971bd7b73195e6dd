package queuer

import (
	"context"
	"fmt"
	"testing"
)

// BenchmarkAcquire acquires and releases free slots for 50 workspaces.
func BenchmarkAcquire(b *testing.B) {
	q := &Queuer{Limit: func() int { return 7 }}
	names := make([]string, 50)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		release, err := q.Acquire(context.Background(), Ticket{Workspace: names[i%len(names)]})
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
}
