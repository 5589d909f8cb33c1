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
	// MaxBodyBytes bounds the body of a recorded response. Of a longer one only
	// the status and the fact of completion are recorded.
	MaxBodyBytes = 16 << 10
	// maxHeaderBytes bounds the headers of a recorded response.
	maxHeaderBytes = 8 << 10
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 256
	// maxIDBytes bounds attempt and node IDs and service names.
	maxIDBytes = 128
	// fixedRecordBytes covers a record without its attempt ID and response: the
	// structure, its entries in the map, heap and node index, and room for a
	// response of which only the status is kept. BenchmarkBytesPerRecord measures
	// 270; the rest allows for the growth of map and heap in steps.
	fixedRecordBytes = 384
)

type state byte

const (
	inProgress state = iota + 1
	lost
	unknown
	completed
)

type digest [sha256.Size]byte

// digestOf identifies a list of parts. Each has its length in front, so that no
// two lists give the same input.
func digestOf(parts ...string) digest {
	var buffer []byte
	for _, part := range parts {
		buffer = binary.AppendUvarint(buffer, uint64(len(part)))
		buffer = append(buffer, part...)
	}
	return sha256.Sum256(buffer)
}

// record is the state of one key.
type record struct {
	key         digest
	fingerprint digest
	attempt     string
	node        unique.Handle[string]
	// response is an encoded wire.RecordedResponse.
	response   []byte
	deadlineMs int64
	expiresMs  int64
	// position in the expiry heap.
	position int
	state    state
}

func (r *record) bytes() int64 {
	return fixedRecordBytes + int64(len(r.attempt)+len(r.response))
}

// encodeResponse drops the body, or also the headers, when they exceed their bounds.
func encodeResponse(response *wire.RecordedResponse) []byte {
	kept := &wire.RecordedResponse{
		Status:    response.GetStatus(),
		Headers:   response.GetHeaders(),
		Body:      response.GetBody(),
		Truncated: response.GetTruncated(),
	}
	if len(kept.Body) > MaxBodyBytes {
		kept.Body = nil
		kept.Truncated = true
	}
	if proto.Size(&wire.RecordedResponse{Headers: kept.Headers}) > maxHeaderBytes {
		kept = statusOnly(response)
	}
	return marshal(kept)
}

func statusOnly(response *wire.RecordedResponse) *wire.RecordedResponse {
	return &wire.RecordedResponse{Status: response.GetStatus(), Truncated: true}
}

func marshal(message proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		// Strings that are not UTF-8 cannot occur in messages that were decoded.
		panic(err)
	}
	return data
}

// expiryHeap orders records by the time of their expiry.
type expiryHeap []*record

var _ heap.Interface = (*expiryHeap)(nil)

// Len returns the number of records.
func (h expiryHeap) Len() int { return len(h) }

// Less orders by expiry and then by key, so that all members agree.
func (h expiryHeap) Less(i, j int) bool {
	if h[i].expiresMs != h[j].expiresMs {
		return h[i].expiresMs < h[j].expiresMs
	}
	return string(h[i].key[:]) < string(h[j].key[:])
}

// Swap exchanges two records.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push appends a *record.
func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.position = len(*h)
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
