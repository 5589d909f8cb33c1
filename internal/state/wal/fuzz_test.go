package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"math/rand/v2"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

var (
	fuzzHardState = raft.HardState{Term: 2, Vote: 7, Commit: 1}
	fuzzEntries   = []raft.Entry{{Index: 1, Term: 2, Kind: raft.EntryCommand, Data: []byte("x")}}
)

// FuzzRecord guards against a panic on malformed records and payloads, and against an
// accepted input that differs from the encoding of its decoded content.
func FuzzRecord(f *testing.F) {
	f.Add(appendRecord(nil, 9, []byte("payload")))
	f.Add(encodeSegmentHeader(entryID{1, 2}, fuzzHardState))
	f.Add(encodeBatch(&fuzzHardState, fuzzEntries))
	f.Add(encodeBatch(nil, fuzzEntries))
	f.Add([]byte("CLWR\xff\xff\xff\xff0123456789ab"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if sequence, payload, size, ok := parseRecord(data); ok {
			assert.Assert(t, bytes.Equal(appendRecord(nil, sequence, payload), data[:size]))
		}
		if prevEntry, hardState, ok := decodeSegmentHeader(data); ok {
			assert.Assert(t, bytes.Equal(encodeSegmentHeader(prevEntry, hardState), data))
		}
		if hardState, entries, ok := decodeBatch(data); ok {
			assert.Assert(t, bytes.Equal(encodeBatch(hardState, entries), data))
		}
	})
}

// FuzzOpen guards against a panic on any content of the data directory, against
// corruption that is reported without a file name, and against a log that is read
// differently when it is opened again. The first two records and the snapshot have
// valid checksums so that the decoding of their content is tested.
func FuzzOpen(f *testing.F) {
	header := encodeSegmentHeader(entryID{}, raft.HardState{})
	batch := encodeBatch(&fuzzHardState, fuzzEntries)
	identity := []byte(`{"member_id":"7","cluster_id":"5"}`)
	meta := raft.SnapshotMeta{Index: 1, Term: 2}
	snapshot := encodeSnapshot(raft.Snapshot{Meta: meta, Data: []byte("state")})[snapshotHeaderBytes:]
	f.Add(identity, header, batch, []byte{}, []byte{})
	f.Add(identity, header, batch, []byte("CLWR torn"), snapshot)
	f.Add(identity, header, batch, appendRecord(nil, 4, batch), []byte{})
	f.Add([]byte(`{}`), []byte{}, batch, []byte{}, []byte{})
	f.Add(identity, encodeSegmentHeader(entryID{^uint64(0), 1}, fuzzHardState), batch, []byte{}, snapshot)
	f.Fuzz(func(t *testing.T, identity, firstPayload, secondPayload, tail, snapshot []byte) {
		fs := newMemFS(rand.New(rand.NewPCG(1, 5)))
		segment := appendRecord(appendRecord(nil, 1, firstPayload), 2, secondPayload)
		fs.files["data/"+segmentFileName(1)] = &memFile{data: append(segment, tail...)}
		if len(identity) > 0 {
			fs.files["data/"+identityFileName] = &memFile{data: identity}
		}
		if len(snapshot) > 0 {
			checksum := crc32.Checksum(snapshot, castagnoliTable)
			file := append(binary.LittleEndian.AppendUint32([]byte("CLSN"), checksum), snapshot...)
			index := raft.NewDecoder(snapshot).SnapshotMeta().Index
			fs.files["data/"+snapshotFileName(index)] = &memFile{data: file}
		}
		options := Options{Dir: "data", FS: fs}
		log, contents, err := Open(options)
		if err != nil {
			var corruption *CorruptionError
			assert.Assert(t, errors.As(err, &corruption) && corruption.File != "", "%v", err)
			return
		}
		next := raft.Entry{Index: log.lastEntry.index + 1, Term: log.lastEntry.term + 1, Kind: raft.EntryCommand}
		if next.Index == 0 || next.Term == 0 {
			return // The index or the term exceeds 64 bits and wrapped around to 0.
		}
		assert.NilError(t, log.Append(nil, []raft.Entry{next}))
		_, reopened, err := Open(options)
		assert.NilError(t, err)
		contents.Entries = append(contents.Entries, next)
		assert.DeepEqual(t, reopened, contents)
	})
}
