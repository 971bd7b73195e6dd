package configurer

// Query asks another node for its head and for parts.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Parts are the hashes of the wanted manifests and parts. If empty, the reply
	// has only the head.
	Parts []Hash
	// Read asks the node to read from the source in place of this one, whose source
	// fails.
	Read bool
}

// Reply answers a Query.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Head is the head in force on the node. Its number is 0 when there is none.
	Head Head
	// Overflow comes after the head's number in the order of configurations.
	Overflow uint64
	// Parts are the encoded parts that the node has, as many as fit
	// maxReplyBytes. The receiver matches them by hash.
	Parts [][]byte
	// Reads answers Query.Read: the node reads from the source, as far as it knows.
	Reads bool
}
