package claims

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"unique"

	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// MaxRecordedBodyBytes is the limit for the body of a recorded response. A longer
	// body is dropped and the recorded response is marked as truncated.
	MaxRecordedBodyBytes = 16 << 10
	// maxRecordedHeaderBytes is the limit for the headers of a recorded response.
	// Longer headers are dropped together with the body.
	maxRecordedHeaderBytes = 8 << 10
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 256
	// maxIDBytes is the maximum length of attempt IDs, node IDs and service names.
	maxIDBytes = 128
	// fixedRecordBytes is the estimated memory of a record without its attempt ID
	// and response: the struct, its entries in the map, heap and node index, and a
	// response that consists of the status only. BenchmarkBytesPerRecord measures
	// 270 bytes; the rest is a reserve, as map and heap grow in steps.
	fixedRecordBytes = 384
)

type state byte

const (
	stateInProgress state = iota + 1
	stateLost
	stateUnknown
	stateCompleted
)

type digest [sha256.Size]byte

// digestOf returns the SHA-256 digest of a list of parts. Each part is prefixed
// with its length, so that different lists never give the same hash input.
func digestOf(parts ...string) digest {
	var buffer []byte
	for _, part := range parts {
		buffer = binary.AppendUvarint(buffer, uint64(len(part)))
		buffer = append(buffer, part...)
	}
	return sha256.Sum256(buffer)
}

// record is the claim on one key of one service, with its outcome once it is known.
type record struct {
	// keyDigest is the digest of the service and the idempotency key.
	keyDigest   digest
	fingerprint digest
	attemptID   string
	nodeID      unique.Handle[string]
	// response is an encoded wire.RecordedResponse, empty before completion.
	response    []byte
	deadlineMs  int64
	expiresAtMs int64
	// heapIndex is the index in the expiry heap.
	heapIndex int
	state     state
}

// sizeBytes returns the estimated memory of the record.
func (r *record) sizeBytes() int64 {
	return fixedRecordBytes + int64(len(r.attemptID)+len(r.response))
}

// encodeResponse encodes a response for its record. It drops the body if that exceeds
// its limit, and body and headers if the headers exceed theirs.
func encodeResponse(response *wire.RecordedResponse) []byte {
	limited := &wire.RecordedResponse{
		Status:    response.GetStatus(),
		Headers:   response.GetHeaders(),
		Body:      response.GetBody(),
		Truncated: response.GetTruncated(),
	}
	if len(limited.Body) > MaxRecordedBodyBytes {
		limited.Body = nil
		limited.Truncated = true
	}
	if proto.Size(&wire.RecordedResponse{Headers: limited.Headers}) > maxRecordedHeaderBytes {
		limited = statusOnly(response)
	}
	return mustMarshal(limited)
}

func statusOnly(response *wire.RecordedResponse) *wire.RecordedResponse {
	return &wire.RecordedResponse{Status: response.GetStatus(), Truncated: true}
}

func mustMarshal(message proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		// Marshal fails only for strings that are not valid UTF-8, which the messages
		// cannot contain because Unmarshal has checked them.
		panic(err)
	}
	return data
}

// expiryHeap is a min-heap of records by expiry time.
type expiryHeap []*record

var _ heap.Interface = (*expiryHeap)(nil)

// Len returns the number of records.
func (h expiryHeap) Len() int { return len(h) }

// Less orders by expiry time and then by key digest, so that the order is the same
// on all members.
func (h expiryHeap) Less(i, j int) bool {
	if h[i].expiresAtMs != h[j].expiresAtMs {
		return h[i].expiresAtMs < h[j].expiresAtMs
	}
	return string(h[i].keyDigest[:]) < string(h[j].keyDigest[:])
}

// Swap exchanges two records.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push appends a *record.
func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop removes the last record.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
