package commander

import (
	"context"

	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// readConfiguration returns the declaration in the store with its number, 0
// when there is none.
func readConfiguration(ctx context.Context, store *storer.Store) (uint64, declarer.Fleet, error) {
	f, number, err := configurer.Read(ctx, store)
	if err != nil {
		return 0, f, coder.New(coder.StoreUnavailable, "%v", err)
	}
	return number, f, nil
}
