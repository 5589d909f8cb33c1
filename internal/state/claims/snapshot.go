package claims

import (
	"bytes"
	"encoding/binary"
	"unique"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// ErrSnapshot reports a snapshot that cannot be read.
var ErrSnapshot = errors.New("malformed snapshot of claims")

// snapshotFormat is the first byte of a snapshot.
const snapshotFormat = 1

// Snapshot returns all records and remembered releases, in the order of the
// expiry heap and of the releases.
func (m *Machine) Snapshot() ([]byte, error) {
	data := make([]byte, 0, m.used)
	data = append(data, snapshotFormat)
	data = appendInts(data, m.nowMs, m.capacity, int64(len(m.expiry)), int64(len(m.released.order)))
	for _, r := range m.expiry {
		data = appendRecord(data, r)
	}
	for _, attempt := range m.released.order {
		data = append(data, attempt.id[:]...)
		data = appendInts(data, attempt.expiresMs)
	}
	return data, nil
}

func appendRecord(data []byte, r *record) []byte {
	data = append(data, byte(r.state))
	data = append(data, r.key[:]...)
	data = append(data, r.fingerprint[:]...)
	data = appendInts(data, r.deadlineMs, r.expiresMs)
	for _, field := range []string{r.attempt, r.node.Value(), string(r.response)} {
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

// Restore replaces the whole state. After an error, which has the cause
// ErrSnapshot, the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	next := NewMachine()
	if err := next.load(data); err != nil {
		return err
	}
	m.records, m.expiry, m.byNode, m.released = next.records, next.expiry, next.byNode, next.released
	m.nowMs, m.used, m.capacity = next.nowMs, next.used, next.capacity
	m.publishStats()
	return nil
}

func (m *Machine) load(data []byte) error {
	if len(data) == 0 || data[0] != snapshotFormat {
		return errors.Wrap(ErrSnapshot, "unknown format")
	}
	reader := &snapshotReader{rest: data[1:]}
	m.nowMs = reader.int64()
	m.capacity = reader.int64()
	records, releases := reader.int64(), reader.int64()
	for ; records > 0 && !reader.failed; records-- {
		r := reader.record()
		if _, found := m.records[r.key]; found {
			return errors.Wrap(ErrSnapshot, "two records of one key")
		}
		m.add(r)
	}
	for ; releases > 0 && !reader.failed; releases-- {
		id := reader.digest()
		m.released.add(id, reader.int64())
	}
	if reader.failed || len(reader.rest) > 0 {
		return errors.Wrap(ErrSnapshot, "wrong length or content")
	}
	return nil
}

// snapshotReader returns zero values once the data is too short.
type snapshotReader struct {
	rest   []byte
	failed bool
}

func (s *snapshotReader) take(n uint64) []byte {
	if uint64(len(s.rest)) < n {
		s.failed = true
		return nil
	}
	taken := s.rest[:n]
	s.rest = s.rest[n:]
	return taken
}

func (s *snapshotReader) int64() int64 {
	if data := s.take(8); data != nil {
		return int64(binary.BigEndian.Uint64(data))
	}
	return 0
}

func (s *snapshotReader) digest() digest {
	var d digest
	copy(d[:], s.take(uint64(len(d))))
	return d
}

func (s *snapshotReader) field() []byte {
	length, n := binary.Uvarint(s.rest)
	if n <= 0 {
		s.failed = true
		return nil
	}
	s.rest = s.rest[n:]
	return s.take(length)
}

func (s *snapshotReader) record() *record {
	r := &record{}
	if first := s.take(1); first != nil {
		r.state = state(first[0])
	}
	r.key = s.digest()
	r.fingerprint = s.digest()
	r.deadlineMs = s.int64()
	r.expiresMs = s.int64()
	r.attempt = string(s.field())
	r.node = unique.Make(string(s.field()))
	r.response = bytes.Clone(s.field())
	if r.state < inProgress || r.state > completed || !isResponse(r.response) {
		s.failed = true
	}
	return r
}

func isResponse(data []byte) bool {
	return proto.Unmarshal(data, &wire.RecordedResponse{}) == nil
}
