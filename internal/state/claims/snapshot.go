package claims

import (
	"bytes"
	"encoding/binary"
	"unique"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// ErrSnapshot reports a snapshot that cannot be decoded.
var ErrSnapshot = errors.New("malformed snapshot of claims")

// snapshotVersion is the version of the snapshot encoding, the first byte of a snapshot.
const snapshotVersion = 1

// Snapshot returns the encoded state. Records are in the order of the expiry heap and
// released attempts in the order of their release.
func (m *Machine) Snapshot() ([]byte, error) {
	data := make([]byte, 0, m.usedBytes)
	data = append(data, snapshotVersion)
	data = appendInts(data, m.nowMs, m.capacityBytes, int64(len(m.expiry)), int64(len(m.released.queue)))
	for _, r := range m.expiry {
		data = appendRecord(data, r)
	}
	for _, attempt := range m.released.queue {
		data = append(data, attempt.id[:]...)
		data = appendInts(data, attempt.expiresAtMs)
	}
	return data, nil
}

func appendRecord(data []byte, r *record) []byte {
	data = append(data, byte(r.state))
	data = append(data, r.keyDigest[:]...)
	data = append(data, r.fingerprint[:]...)
	data = appendInts(data, r.deadlineMs, r.expiresAtMs)
	for _, field := range []string{r.attemptID, r.nodeID.Value(), string(r.response)} {
		data = binary.AppendUvarint(data, uint64(len(field)))
		data = append(data, field...)
	}
	return data
}

func appendInts(data []byte, values ...int64) []byte {
	for _, v := range values {
		data = binary.BigEndian.AppendUint64(data, uint64(v))
	}
	return data
}

// Restore replaces the whole state with that of a snapshot. If the snapshot is
// malformed, it returns an error that wraps ErrSnapshot and leaves the state unchanged.
func (m *Machine) Restore(data []byte) error {
	restored := NewMachine()
	if err := restored.decodeSnapshot(data); err != nil {
		return err
	}
	m.records, m.expiry, m.inProgressByNode, m.released = restored.records, restored.expiry, restored.inProgressByNode, restored.released
	m.nowMs, m.usedBytes, m.capacityBytes = restored.nowMs, restored.usedBytes, restored.capacityBytes
	m.publishStats()
	return nil
}

func (m *Machine) decodeSnapshot(data []byte) error {
	if len(data) == 0 || data[0] != snapshotVersion {
		return errors.Wrap(ErrSnapshot, "unknown snapshot version")
	}
	reader := &snapshotReader{remaining: data[1:]}
	m.nowMs = reader.int64()
	m.capacityBytes = reader.int64()
	recordCount, releasedCount := reader.int64(), reader.int64()
	for ; recordCount > 0 && !reader.failed; recordCount-- {
		r := reader.record()
		if _, found := m.records[r.keyDigest]; found {
			return errors.Wrap(ErrSnapshot, "duplicate record for a key")
		}
		m.add(r)
	}
	for ; releasedCount > 0 && !reader.failed; releasedCount-- {
		id := reader.digest()
		m.released.add(id, reader.int64())
	}
	if reader.failed || len(reader.remaining) > 0 {
		return errors.Wrap(ErrSnapshot, "truncated data, trailing data or invalid record")
	}
	return nil
}

// snapshotReader decodes the fields of a snapshot. It sets failed when the data is too
// short or a record is invalid; fields that cannot be read have the zero value.
type snapshotReader struct {
	remaining []byte
	failed    bool
}

func (s *snapshotReader) next(n uint64) []byte {
	if uint64(len(s.remaining)) < n {
		s.failed = true
		return nil
	}
	data := s.remaining[:n]
	s.remaining = s.remaining[n:]
	return data
}

func (s *snapshotReader) int64() int64 {
	if data := s.next(8); data != nil {
		return int64(binary.BigEndian.Uint64(data))
	}
	return 0
}

func (s *snapshotReader) digest() digest {
	var d digest
	copy(d[:], s.next(uint64(len(d))))
	return d
}

func (s *snapshotReader) lengthPrefixed() []byte {
	length, prefixBytes := binary.Uvarint(s.remaining)
	if prefixBytes <= 0 {
		s.failed = true
		return nil
	}
	s.remaining = s.remaining[prefixBytes:]
	return s.next(length)
}

func (s *snapshotReader) record() *record {
	r := &record{}
	if data := s.next(1); data != nil {
		r.state = state(data[0])
	}
	r.keyDigest = s.digest()
	r.fingerprint = s.digest()
	r.deadlineMs = s.int64()
	r.expiresAtMs = s.int64()
	r.attemptID = string(s.lengthPrefixed())
	r.nodeID = unique.Make(string(s.lengthPrefixed()))
	r.response = bytes.Clone(s.lengthPrefixed())
	if r.state < stateInProgress || r.state > stateCompleted || !isRecordedResponse(r.response) {
		s.failed = true
	}
	return r
}

func isRecordedResponse(data []byte) bool {
	return proto.Unmarshal(data, &wire.RecordedResponse{}) == nil
}
