package claims

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// ErrMalformed reports a command that is shorter than its header.
var ErrMalformed = errors.New("malformed claim command")

// Command kinds; the kind is the first byte of an encoded command.
const (
	kindClaim byte = iota + 1
	kindRecordOutcome
	kindRelease
	kindNodeLost
)

// Terms are the time, retention and capacity that apply to a claim, set by the
// member that proposes it.
type Terms struct {
	// ProposedAt is the time of the proposal.
	ProposedAt time.Time
	// Timeout is the time from ProposedAt to the deadline of the attempt. After the
	// deadline the outcome is treated as unknown until the holder records one.
	Timeout time.Duration
	// Retention is the time for which the record is kept after the attempt's deadline.
	Retention time.Duration
	// CapacityBytes is the limit of the estimated memory of all records. A new
	// claim that would exceed it is refused as unavailable.
	CapacityBytes int64
}

// commandHeaderBytes is the length of the fixed part of an encoded command: kind,
// proposal time, timeout, retention and capacity.
const commandHeaderBytes = 1 + 4*8

// command is a decoded command. proposedAtMs is in Unix milliseconds.
type command struct {
	kind          byte
	proposedAtMs  int64
	timeoutMs     int64
	retentionMs   int64
	capacityBytes int64
	payload       []byte
}

// EncodeClaim returns the command that claims a key. Its result is a wire.ClaimResult.
func EncodeClaim(claim *wire.Claim, terms Terms) ([]byte, error) {
	c := command{
		kind:          kindClaim,
		proposedAtMs:  terms.ProposedAt.UnixMilli(),
		timeoutMs:     terms.Timeout.Milliseconds(),
		retentionMs:   terms.Retention.Milliseconds(),
		capacityBytes: terms.CapacityBytes,
	}
	return c.encodeMessage(claim)
}

// EncodeRecordOutcome returns the command that records an outcome. Its result is a
// wire.ClaimAck.
func EncodeRecordOutcome(outcome *wire.RecordOutcome, proposedAt time.Time) ([]byte, error) {
	return command{kind: kindRecordOutcome, proposedAtMs: proposedAt.UnixMilli()}.encodeMessage(outcome)
}

// EncodeRelease returns the command that releases a claim. Its result is a
// wire.ClaimAck. The holder must not have dispatched the request and must not
// dispatch it later.
func EncodeRelease(release *wire.ReleaseClaim, proposedAt time.Time) ([]byte, error) {
	return command{kind: kindRelease, proposedAtMs: proposedAt.UnixMilli()}.encodeMessage(release)
}

// EncodeNodeLost returns the command that marks all claims in progress at a node
// as lost. The leader proposes it when the node's lease has expired or the node
// has restarted. Its result is a wire.ClaimAck.
func EncodeNodeLost(nodeID string, proposedAt time.Time) []byte {
	c := command{kind: kindNodeLost, proposedAtMs: proposedAt.UnixMilli(), payload: []byte(nodeID)}
	return c.encode()
}

// DecodeClaimResult decodes the result of a command from EncodeClaim.
func DecodeClaimResult(data []byte) (*wire.ClaimResult, error) {
	result := &wire.ClaimResult{}
	err := proto.Unmarshal(data, result)
	return result, errors.Wrap(err, "decode result of a claim")
}

// DecodeAck decodes the result of a command from EncodeRecordOutcome, EncodeRelease or
// EncodeNodeLost.
func DecodeAck(data []byte) (*wire.ClaimAck, error) {
	ack := &wire.ClaimAck{}
	err := proto.Unmarshal(data, ack)
	return ack, errors.Wrap(err, "decode answer about a claim")
}

func (c command) encodeMessage(message proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim command")
	}
	c.payload = payload
	return c.encode(), nil
}

func (c command) encode() []byte {
	data := make([]byte, 0, commandHeaderBytes+len(c.payload))
	data = append(data, c.kind)
	for _, field := range []int64{c.proposedAtMs, c.timeoutMs, c.retentionMs, c.capacityBytes} {
		data = binary.BigEndian.AppendUint64(data, uint64(field))
	}
	return append(data, c.payload...)
}

func decodeCommand(data []byte) (command, error) {
	if len(data) < commandHeaderBytes {
		return command{}, errors.Wrap(ErrMalformed, "too short")
	}
	field := func(i int) int64 { return int64(binary.BigEndian.Uint64(data[1+8*i:])) }
	return command{
		kind:          data[0],
		proposedAtMs:  field(0),
		timeoutMs:     max(0, field(1)),
		retentionMs:   max(0, field(2)),
		capacityBytes: field(3),
		payload:       data[commandHeaderBytes:],
	}, nil
}
