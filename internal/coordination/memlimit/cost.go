package memlimit

// Costs in bytes of what is held for a client, beside the bytes that it sent. They are rounded up
// from the sizes of the structures; the tests of this package compare FieldBytes with the
// memory of a parsed header.
const (
	// ConnectionBytes are held for an open connection: the stack of its goroutine, its read
	// buffer and the head of an ordinary request.
	ConnectionBytes = 16 << 10
	// RequestBytes are held for a request: the stacks of its goroutines, its contexts and its
	// buffers.
	RequestBytes = 16 << 10
	// FieldBytes are held for a header field: the entries of the maps for the request of the
	// client and that to the upstream, and the message between them.
	FieldBytes = 480
	// headCopies is how often the text of a head is held: as read, in the message and in the
	// request to the upstream.
	headCopies = 3
	// BodyCopies is how often a buffered body is held: at the entry, in messages on their way
	// and beside the upstream.
	BodyCopies = 3
)

// HeadBytes returns the bytes held for a request with a head of the size and number of lines.
func HeadBytes(size, lines int) int64 {
	return RequestBytes + headCopies*int64(size) + FieldBytes*int64(lines)
}
