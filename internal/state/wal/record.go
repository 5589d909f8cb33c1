package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// A record consists of a magic number (4 bytes), the payload length (4), the CRC32C of
// length, sequence number and payload (4), the sequence number (8) and the payload.
// Integers are little-endian.
const (
	recordHeaderBytes = 20
	formatVersion     = 1

	// Types of payloads, stored in the first byte of each payload.
	payloadSegmentHeader = 1
	payloadBatch         = 2
)

var (
	recordMagic     = []byte("CLWR")
	castagnoliTable = crc32.MakeTable(crc32.Castagnoli)
)

func appendRecord(b []byte, sequence uint64, payload []byte) []byte {
	start := len(b)
	b = append(b, recordMagic...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = binary.LittleEndian.AppendUint64(b, sequence)
	b = append(b, payload...)
	binary.LittleEndian.PutUint32(b[start+8:], recordChecksum(b[start:]))
	return b
}

func recordChecksum(record []byte) uint32 {
	checksum := crc32.Update(0, castagnoliTable, record[4:8])
	return crc32.Update(checksum, castagnoliTable, record[12:])
}

// parseRecord decodes the record at the start of b and returns its size in bytes. It
// returns false for ok if the record is incomplete or invalid.
func parseRecord(b []byte) (sequence uint64, payload []byte, size int64, ok bool) {
	if len(b) < recordHeaderBytes || !bytes.Equal(b[:4], recordMagic) {
		return 0, nil, 0, false
	}
	size = recordHeaderBytes + int64(binary.LittleEndian.Uint32(b[4:]))
	if size > int64(len(b)) {
		return 0, nil, 0, false
	}
	record := b[:size:size]
	if recordChecksum(record) != binary.LittleEndian.Uint32(record[8:]) {
		return 0, nil, 0, false
	}
	return binary.LittleEndian.Uint64(record[12:]), record[recordHeaderBytes:], size, true
}

// containsRecordAfter reports whether a valid record with a higher sequence number
// starts anywhere in b. It distinguishes corruption in the middle of the log from a
// torn last record: each record is synced before the next one is written, so no valid
// record follows a torn one.
func containsRecordAfter(b []byte, sequence uint64) bool {
	for {
		i := bytes.Index(b, recordMagic)
		if i < 0 {
			return false
		}
		b = b[i:]
		if foundSequence, _, _, ok := parseRecord(b); ok && foundSequence > sequence {
			return true
		}
		b = b[1:]
	}
}

func appendHardState(b []byte, hardState raft.HardState) []byte {
	b = binary.AppendUvarint(b, hardState.Term)
	b = binary.AppendUvarint(b, hardState.Vote)
	return binary.AppendUvarint(b, hardState.Commit)
}

func decodeHardState(d *raft.Decoder) raft.HardState {
	return raft.HardState{Term: d.Uvarint(), Vote: d.Uvarint(), Commit: d.Uvarint()}
}

// encodeSegmentHeader encodes the payload of a segment's first record: the last entry and
// the hard state before the segment.
func encodeSegmentHeader(prevEntry entryID, hardState raft.HardState) []byte {
	b := []byte{payloadSegmentHeader, formatVersion}
	b = binary.AppendUvarint(b, prevEntry.index)
	b = binary.AppendUvarint(b, prevEntry.term)
	return appendHardState(b, hardState)
}

func decodeSegmentHeader(payload []byte) (prevEntry entryID, hardState raft.HardState, ok bool) {
	if len(payload) < 2 || payload[0] != payloadSegmentHeader || payload[1] != formatVersion {
		return entryID{}, raft.HardState{}, false
	}
	d := raft.NewDecoder(payload[2:])
	prevEntry = entryID{index: d.Uvarint(), term: d.Uvarint()}
	hardState = decodeHardState(d)
	return prevEntry, hardState, d.Finish() == nil
}

// encodeBatch encodes the payload of one Append: the hard state, if it is not nil, and the
// entries.
func encodeBatch(hardState *raft.HardState, entries []raft.Entry) []byte {
	size := 0
	for _, e := range entries {
		size += len(e.Data) + 4*binary.MaxVarintLen64
	}
	b := make([]byte, 0, size+8*binary.MaxVarintLen64)
	b = append(b, payloadBatch)
	if hardState == nil {
		b = append(b, 0)
	} else {
		b = append(b, 1)
		b = appendHardState(b, *hardState)
	}
	for _, e := range entries {
		b = raft.AppendEntry(b, e)
	}
	return b
}

func decodeBatch(payload []byte) (hardState *raft.HardState, entries []raft.Entry, ok bool) {
	if len(payload) < 2 || payload[0] != payloadBatch || payload[1] > 1 {
		return nil, nil, false
	}
	d := raft.NewDecoder(payload[2:])
	if payload[1] == 1 {
		state := decodeHardState(d)
		hardState = &state
	}
	for d.More() {
		entries = append(entries, d.Entry())
	}
	return hardState, entries, d.Finish() == nil
}

func segmentFileName(number uint64) string {
	return fmt.Sprintf("%016x.wal", number)
}
