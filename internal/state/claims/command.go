package claims

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// ErrMalformed reports a command or result that cannot be decoded.
var ErrMalformed = errors.New("malformed claim command")

// The kinds of commands, the first byte of each.
const (
	kindClaim byte = iota + 1
	kindRecord
	kindRelease
	kindNodeLost
)

// Terms are the conditions of a claim, set by the member that proposes it.
type Terms struct {
	// At is the time of the proposal.
	At time.Time
	// Timeout is the time left for the attempt. After it the outcome counts as
	// unknown unless the holder records one.
	Timeout time.Duration
	// Keep is how long the record is kept after the attempt's deadline.
	Keep time.Duration
	// Capacity in bytes; new claims are refused when all records need more.
	Capacity int64
}

// headerBytes is the length of the kind, time, timeout, retention and capacity.
const headerBytes = 1 + 4*8

// command is a decoded command. Times are in milliseconds.
type command struct {
	kind      byte
	atMs      int64
	timeoutMs int64
	keepMs    int64
	capacity  int64
	payload   []byte
}

// EncodeClaim returns the command that claims a key. Its result is a wire.ClaimResult.
func EncodeClaim(claim *wire.Claim, terms Terms) ([]byte, error) {
	c := command{
		kind:      kindClaim,
		atMs:      terms.At.UnixMilli(),
		timeoutMs: terms.Timeout.Milliseconds(),
		keepMs:    terms.Keep.Milliseconds(),
		capacity:  terms.Capacity,
	}
	return c.encode(claim)
}

// EncodeRecord returns the command that records an outcome. Its result is a wire.ClaimAck.
func EncodeRecord(outcome *wire.RecordOutcome, at time.Time) ([]byte, error) {
	return command{kind: kindRecord, atMs: at.UnixMilli()}.encode(outcome)
}

// EncodeRelease returns the command that gives a claim back. Its result is a
// wire.ClaimAck. The holder must not have dispatched and must not dispatch later.
func EncodeRelease(release *wire.ReleaseClaim, at time.Time) ([]byte, error) {
	return command{kind: kindRelease, atMs: at.UnixMilli()}.encode(release)
}

// EncodeNodeLost returns the command that marks all claims in progress at a node
// as lost. The leader proposes it when the node's lease has expired or the node
// has started anew. Its result is a wire.ClaimAck.
func EncodeNodeLost(nodeID string, at time.Time) []byte {
	c := command{kind: kindNodeLost, atMs: at.UnixMilli(), payload: []byte(nodeID)}
	return c.bytes()
}

// DecodeClaimResult decodes the result of EncodeClaim's command.
func DecodeClaimResult(data []byte) (*wire.ClaimResult, error) {
	result := &wire.ClaimResult{}
	err := proto.Unmarshal(data, result)
	return result, errors.Wrap(err, "decode result of a claim")
}

// DecodeAck decodes the result of the other commands.
func DecodeAck(data []byte) (*wire.ClaimAck, error) {
	ack := &wire.ClaimAck{}
	err := proto.Unmarshal(data, ack)
	return ack, errors.Wrap(err, "decode answer about a claim")
}

func (c command) encode(message proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim command")
	}
	c.payload = payload
	return c.bytes(), nil
}

func (c command) bytes() []byte {
	data := make([]byte, 0, headerBytes+len(c.payload))
	data = append(data, c.kind)
	for _, field := range []int64{c.atMs, c.timeoutMs, c.keepMs, c.capacity} {
		data = binary.BigEndian.AppendUint64(data, uint64(field))
	}
	return append(data, c.payload...)
}

func decode(data []byte) (command, error) {
	if len(data) < headerBytes {
		return command{}, errors.Wrap(ErrMalformed, "too short")
	}
	field := func(i int) int64 { return int64(binary.BigEndian.Uint64(data[1+8*i:])) }
	return command{
		kind:      data[0],
		atMs:      field(0),
		timeoutMs: max(0, field(1)),
		keepMs:    max(0, field(2)),
		capacity:  field(3),
		payload:   data[headerBytes:],
	}, nil
}
