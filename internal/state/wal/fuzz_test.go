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
	fuzzHard    = raft.HardState{Term: 2, Vote: 7, Commit: 1}
	fuzzEntries = []raft.Entry{{Index: 1, Term: 2, Kind: raft.EntryCommand, Data: []byte("x")}}
)

// FuzzRecord guards against a panic on damaged records and payloads, and against
// content that differs from what was written.
func FuzzRecord(f *testing.F) {
	f.Add(appendRecord(nil, 9, []byte("payload")))
	f.Add(headerPayload(position{1, 2}, fuzzHard))
	f.Add(batchPayload(&fuzzHard, fuzzEntries))
	f.Add(batchPayload(nil, fuzzEntries))
	f.Add([]byte("CLWR\xff\xff\xff\xff0123456789ab"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if sequence, payload, size, ok := parseRecord(data); ok {
			assert.Assert(t, bytes.Equal(appendRecord(nil, sequence, payload), data[:size]))
		}
		if base, hard, ok := decodeHeader(data); ok {
			assert.Assert(t, bytes.Equal(headerPayload(base, hard), data))
		}
		if hard, entries, ok := decodeBatch(data); ok {
			assert.Assert(t, bytes.Equal(batchPayload(hard, entries), data))
		}
	})
}

// FuzzOpen guards against a panic on any content of the folder, against damage that
// is reported without its file, and against a log that reads differently at the next
// start. The records have valid checksums, so that their payloads are reached.
func FuzzOpen(f *testing.F) {
	header := headerPayload(position{}, raft.HardState{})
	batch := batchPayload(&fuzzHard, fuzzEntries)
	identity := []byte(`{"member_id":"7","cluster_id":"5"}`)
	meta := raft.SnapshotMeta{Index: 1, Term: 2}
	snapshot := encodeSnapshot(raft.Snapshot{Meta: meta, Data: []byte("state")})[snapshotHeadBytes:]
	f.Add(identity, header, batch, []byte{}, []byte{})
	f.Add(identity, header, batch, []byte("CLWR torn"), snapshot)
	f.Add(identity, header, batch, appendRecord(nil, 4, batch), []byte{})
	f.Add([]byte(`{}`), []byte{}, batch, []byte{}, []byte{})
	f.Add(identity, headerPayload(position{^uint64(0), 1}, fuzzHard), batch, []byte{}, snapshot)
	f.Fuzz(func(t *testing.T, identity, first, second, tail, snapshot []byte) {
		fs := newMemFS(rand.New(rand.NewPCG(1, 5)))
		segment := appendRecord(appendRecord(nil, 1, first), 2, second)
		fs.files["data/"+segmentName(1)] = &memFile{data: append(segment, tail...)}
		if len(identity) > 0 {
			fs.files["data/"+identityName] = &memFile{data: identity}
		}
		if len(snapshot) > 0 {
			sum := crc32.Checksum(snapshot, castagnoli)
			file := append(binary.LittleEndian.AppendUint32([]byte("CLSN"), sum), snapshot...)
			index := raft.NewDecoder(snapshot).Meta().Index
			fs.files["data/"+snapshotName(index)] = &memFile{data: file}
		}
		options := Options{Dir: "data", FS: fs}
		log, contents, err := Open(options)
		if err != nil {
			var damage *DamageError
			assert.Assert(t, errors.As(err, &damage) && damage.File != "", "%v", err)
			return
		}
		next := raft.Entry{Index: log.last.index + 1, Term: log.last.term + 1, Kind: raft.EntryCommand}
		if next.Index == 0 || next.Term == 0 {
			return // indexes and terms have 64 bits
		}
		assert.NilError(t, log.Append(nil, []raft.Entry{next}))
		_, again, err := Open(options)
		assert.NilError(t, err)
		contents.Entries = append(contents.Entries, next)
		assert.DeepEqual(t, again, contents)
	})
}
