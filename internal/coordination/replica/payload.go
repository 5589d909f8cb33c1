package replica

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// Payloads of wire.RaftMessage begin with one of the kinds below. All envelopes between
// members carry the cluster ID as their attempt ID, so that members of two clusters
// never accept each other's messages; the cluster ID is 0 while a cluster is created.
const (
	// payloadFinalPart is the last or only part of an encoded raft.Message.
	payloadFinalPart = 1
	// payloadPart is a part of an encoded raft.Message that continues in the next payload.
	payloadPart = 2
	// payloadIdentityRequest asks for the receiver's identity, payloadJoinRequest asks it
	// to add the sender to its cluster. payloadIdentityResponse responds to both and to
	// payloadStopNotice.
	payloadIdentityRequest  = 3
	payloadJoinRequest      = 4
	payloadIdentityResponse = 5
	// payloadHello begins a stream of messages with the sender's address, for a receiver
	// whose log does not hold the configuration yet.
	payloadHello = 6
	// payloadStopNotice announces to the leader that the sender stops.
	payloadStopNotice = 7

	// maxPartBytes bounds the size of one part of a message.
	maxPartBytes = 1 << 20
	// maxMessageBytes bounds the size of a message that is reassembled from parts.
	maxMessageBytes = 512 << 20

	clusterIDBytes = 8
	// identityHeaderBytes is the size of the kind, the member ID and the cluster ID.
	identityHeaderBytes = 17
)

// errMalformedPayload reports a payload that no correct member sends.
var errMalformedPayload = errors.New("replica: malformed payload")

// identityMessage is the body of all payloads except the parts of messages.
type identityMessage struct {
	// memberID and clusterID identify the sender; clusterID is 0 if it belongs to no cluster.
	memberID  uint64
	clusterID uint64
	// address is the sender's address in a request or hello. In a response it is the
	// leader's address, empty if there is no known leader.
	address string
}

func (m identityMessage) encode(kind byte) []byte {
	b := []byte{kind}
	b = binary.LittleEndian.AppendUint64(b, m.memberID)
	b = binary.LittleEndian.AppendUint64(b, m.clusterID)
	return append(b, m.address...)
}

func decodeIdentityMessage(payload []byte) (identityMessage, error) {
	if len(payload) < identityHeaderBytes {
		return identityMessage{}, errMalformedPayload
	}
	return identityMessage{
		memberID:  binary.LittleEndian.Uint64(payload[1:]),
		clusterID: binary.LittleEndian.Uint64(payload[9:]),
		address:   string(payload[identityHeaderBytes:]),
	}, nil
}

func encodeClusterID(id uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, id)
}

func decodeClusterID(envelope *wire.Envelope) (uint64, bool) {
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

// sendParts sends an encoded raft.Message in as many parts as necessary.
func sendParts(conn *frame.Conn, from, to uint64, encoded []byte) error {
	for {
		kind, part := byte(payloadFinalPart), encoded
		if len(encoded) > maxPartBytes {
			kind, part = payloadPart, encoded[:maxPartBytes]
		}
		payload := append([]byte{kind}, part...)
		if err := conn.Send(raftEnvelope(from, to, payload)); err != nil {
			return err
		}
		encoded = encoded[len(part):]
		if kind == payloadFinalPart {
			return nil
		}
	}
}

// assembler reassembles the parts of a message.
type assembler struct {
	buffer []byte
}

// add returns the complete encoded message once its last part has arrived.
func (a *assembler) add(payload []byte) (encoded []byte, complete bool, err error) {
	if len(payload) == 0 || len(a.buffer)+len(payload) > maxMessageBytes {
		return nil, false, errMalformedPayload
	}
	part := payload[1:]
	switch payload[0] {
	case payloadPart:
		a.buffer = append(a.buffer, part...)
		return nil, false, nil
	case payloadFinalPart:
		if a.buffer == nil {
			return part, true, nil
		}
		encoded = a.buffer
		a.buffer = nil
		encoded = append(encoded, part...)
		return encoded, true, nil
	default:
		return nil, false, errMalformedPayload
	}
}
