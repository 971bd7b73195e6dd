package exithandler

import "context"

type entryKey struct{}

// WithEntry adds the name of the entry node that sent a call to its context. A
// call of this node has none.
func WithEntry(ctx context.Context, node string) context.Context {
	return context.WithValue(ctx, entryKey{}, node)
}

// EntryOf returns the name of the entry node that sent a call, or "" if that is
// this node.
func EntryOf(ctx context.Context) string {
	node, _ := ctx.Value(entryKey{}).(string)
	return node
}
