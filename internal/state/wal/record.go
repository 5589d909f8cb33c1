package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// A record is magic (4 bytes), payload length (4), CRC32C over length, sequence
// number and payload (4), sequence number (8), payload. Integers are little-endian.
const (
	recordHeadBytes = 20
	formatVersion   = 1

	payloadHeader = 1
	payloadBatch  = 2
)

var (
	recordMagic = []byte("CLWR")
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
)

func appendRecord(b []byte, sequence uint64, payload []byte) []byte {
	start := len(b)
	b = append(b, recordMagic...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = binary.LittleEndian.AppendUint64(b, sequence)
	b = append(b, payload...)
	binary.LittleEndian.PutUint32(b[start+8:], recordSum(b[start:]))
	return b
}

func recordSum(record []byte) uint32 {
	sum := crc32.Update(0, castagnoli, record[4:8])
	return crc32.Update(sum, castagnoli, record[12:])
}

// parseRecord returns the record at the start of b; false when there is no whole, valid one.
func parseRecord(b []byte) (sequence uint64, payload []byte, size int64, ok bool) {
	if len(b) < recordHeadBytes || !bytes.Equal(b[:4], recordMagic) {
		return 0, nil, 0, false
	}
	size = recordHeadBytes + int64(binary.LittleEndian.Uint32(b[4:]))
	if size > int64(len(b)) {
		return 0, nil, 0, false
	}
	record := b[:size:size]
	if recordSum(record) != binary.LittleEndian.Uint32(record[8:]) {
		return 0, nil, 0, false
	}
	return binary.LittleEndian.Uint64(record[12:]), record[recordHeadBytes:], size, true
}

// holdsRecordAfter reports whether a valid record with a higher sequence number
// begins anywhere in b. It tells damage in the middle from a torn tail: each record
// is synced before the next one is written.
func holdsRecordAfter(b []byte, sequence uint64) bool {
	for {
		i := bytes.Index(b, recordMagic)
		if i < 0 {
			return false
		}
		b = b[i:]
		if found, _, _, ok := parseRecord(b); ok && found > sequence {
			return true
		}
		b = b[1:]
	}
}

func appendHardState(b []byte, hard raft.HardState) []byte {
	b = binary.AppendUvarint(b, hard.Term)
	b = binary.AppendUvarint(b, hard.Vote)
	return binary.AppendUvarint(b, hard.Commit)
}

func decodeHardState(d *raft.Decoder) raft.HardState {
	return raft.HardState{Term: d.Uvarint(), Vote: d.Uvarint(), Commit: d.Uvarint()}
}

func headerPayload(base position, hard raft.HardState) []byte {
	b := []byte{payloadHeader, formatVersion}
	b = binary.AppendUvarint(b, base.index)
	b = binary.AppendUvarint(b, base.term)
	return appendHardState(b, hard)
}

func decodeHeader(payload []byte) (base position, hard raft.HardState, ok bool) {
	if len(payload) < 2 || payload[0] != payloadHeader || payload[1] != formatVersion {
		return position{}, raft.HardState{}, false
	}
	d := raft.NewDecoder(payload[2:])
	base = position{index: d.Uvarint(), term: d.Uvarint()}
	hard = decodeHardState(d)
	return base, hard, d.Finish() == nil
}

func batchPayload(hard *raft.HardState, entries []raft.Entry) []byte {
	size := 0
	for _, e := range entries {
		size += len(e.Data) + 4*binary.MaxVarintLen64
	}
	b := make([]byte, 0, size+8*binary.MaxVarintLen64)
	b = append(b, payloadBatch)
	if hard == nil {
		b = append(b, 0)
	} else {
		b = append(b, 1)
		b = appendHardState(b, *hard)
	}
	for _, e := range entries {
		b = raft.AppendEntry(b, e)
	}
	return b
}

func decodeBatch(payload []byte) (hard *raft.HardState, entries []raft.Entry, ok bool) {
	if len(payload) < 2 || payload[0] != payloadBatch || payload[1] > 1 {
		return nil, nil, false
	}
	d := raft.NewDecoder(payload[2:])
	if payload[1] == 1 {
		state := decodeHardState(d)
		hard = &state
	}
	for d.More() {
		entries = append(entries, d.Entry())
	}
	return hard, entries, d.Finish() == nil
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%016x.wal", number)
}
