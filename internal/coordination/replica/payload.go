package replica

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// A payload of wire.RaftMessage begins with its kind. The attempt ID of all
// envelopes between members is the cluster's ID, so that members of two clusters
// never take each other's messages; it is 0 while a cluster is formed.
const (
	// payloadMessage is the last or only part of an encoded raft.Message.
	payloadMessage = 1
	// payloadPart is a part of a message that continues in the next payload.
	payloadPart = 2
	// payloadProbe asks for the member's identity, payloadJoin for membership.
	payloadProbe  = 3
	payloadJoin   = 4
	payloadAnswer = 5
	// payloadHello begins a stream of messages with the sender's address, for a
	// receiver whose log does not hold the configuration yet.
	payloadHello = 6

	// partBytes is the size of the parts of a long message.
	partBytes = 1 << 20
	// maxMessageBytes bounds a message that is put together from parts.
	maxMessageBytes = 512 << 20

	clusterIDBytes = 8
	introBytes     = 17
)

// errPayload reports a payload that no member sends.
var errPayload = errors.New("replica: malformed payload")

// introduction is the body of payloadProbe, payloadJoin, payloadAnswer and payloadHello.
type introduction struct {
	// memberID and clusterID are those of the sender; clusterID is 0 for none.
	memberID  uint64
	clusterID uint64
	// address is the sender's in a request or hello and the leader's, if known, in an answer.
	address string
}

func (i introduction) encode(kind byte) []byte {
	b := []byte{kind}
	b = binary.LittleEndian.AppendUint64(b, i.memberID)
	b = binary.LittleEndian.AppendUint64(b, i.clusterID)
	return append(b, i.address...)
}

func decodeIntroduction(payload []byte) (introduction, error) {
	if len(payload) < introBytes {
		return introduction{}, errPayload
	}
	return introduction{
		memberID:  binary.LittleEndian.Uint64(payload[1:]),
		clusterID: binary.LittleEndian.Uint64(payload[9:]),
		address:   string(payload[introBytes:]),
	}, nil
}

func clusterBytes(id uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, id)
}

func clusterOf(envelope *wire.Envelope) (uint64, bool) {
	b := envelope.GetAttemptId()
	if len(b) != clusterIDBytes {
		return 0, false
	}
	return binary.LittleEndian.Uint64(b), true
}

func raftEnvelope(from, to uint64, payload []byte) *wire.Envelope {
	message := &wire.RaftMessage{From: from, To: to, Payload: payload}
	return &wire.Envelope{Body: &wire.Envelope_Raft{Raft: message}}
}

// sendParts sends an encoded raft.Message in as many payloads as it needs.
func sendParts(conn *frame.Conn, from, to uint64, encoded []byte) error {
	for {
		kind, part := byte(payloadMessage), encoded
		if len(encoded) > partBytes {
			kind, part = payloadPart, encoded[:partBytes]
		}
		payload := append([]byte{kind}, part...)
		if err := conn.Send(raftEnvelope(from, to, payload)); err != nil {
			return err
		}
		encoded = encoded[len(part):]
		if kind == payloadMessage {
			return nil
		}
	}
}

// assembler puts the parts of a message together.
type assembler struct {
	parts []byte
}

// add returns the encoded message when its last part has arrived.
func (a *assembler) add(payload []byte) (encoded []byte, complete bool, err error) {
	if len(payload) == 0 || len(a.parts)+len(payload) > maxMessageBytes {
		return nil, false, errPayload
	}
	part := payload[1:]
	switch payload[0] {
	case payloadPart:
		a.parts = append(a.parts, part...)
		return nil, false, nil
	case payloadMessage:
		if a.parts == nil {
			return part, true, nil
		}
		encoded = a.parts
		a.parts = nil
		encoded = append(encoded, part...)
		return encoded, true, nil
	default:
		return nil, false, errPayload
	}
}
