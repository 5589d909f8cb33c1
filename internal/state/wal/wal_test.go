package wal

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// model is the expected content of a log.
type model struct {
	hardState raft.HardState
	snapshot  raft.Snapshot
	entries   []raft.Entry
}

func (m model) lastIndex() uint64 {
	return m.snapshot.Meta.Index + uint64(len(m.entries))
}

func (m model) matches(c Contents) bool {
	want := Contents{Identity: c.Identity, HardState: m.hardState, Snapshot: m.snapshot, Entries: m.entries}
	return fmt.Sprintf("%+v", want) == fmt.Sprintf("%+v", c)
}

// randomOperation returns a random write to the log and the model after that write.
func randomOperation(rng *rand.Rand, m model) (func(*Log) error, model) {
	term := m.hardState.Term + 1
	switch rng.IntN(8) {
	case 0:
		if len(m.entries) == 0 {
			break
		}
		n := 1 + rng.IntN(len(m.entries))
		lastCovered := m.entries[n-1]
		s := raft.Snapshot{Meta: raft.SnapshotMeta{Index: lastCovered.Index, Term: lastCovered.Term}, Data: []byte("own")}
		m.snapshot, m.entries = s, m.entries[n:]
		return func(l *Log) error { return l.SaveSnapshot(s) }, m
	case 1:
		index := m.snapshot.Meta.Index + 1 + uint64(rng.IntN(6))
		s := raft.Snapshot{Meta: raft.SnapshotMeta{Index: index, Term: term}, Data: []byte("installed")}
		m.snapshot, m.entries = s, nil
		return func(l *Log) error { return l.InstallSnapshot(s) }, m
	}
	m.hardState.Term = term
	hardState := m.hardState
	count := rng.IntN(4)
	keptCount := len(m.entries)
	if count > 0 && rng.IntN(4) == 0 {
		keptCount = rng.IntN(keptCount + 1)
	}
	m.entries = m.entries[:keptCount:keptCount]
	for range count {
		data := []byte{byte(rng.Uint32())}
		m.entries = append(m.entries, raft.Entry{Index: m.lastIndex() + 1, Term: term, Kind: raft.EntryCommand, Data: data})
	}
	added := m.entries[keptCount:]
	return func(l *Log) error { return l.Append(&hardState, added) }, m
}

// end ends the process that uses the filesystem, with or without a loss of power.
func end(rng *rand.Rand, fs *memFS) {
	if rng.IntN(2) == 0 {
		fs.kill()
	} else {
		fs.crash()
	}
}

// TestCrashKeepsAcknowledgedWrites guards against losing an acknowledged write, or one that
// Open has returned, in a crash at any point, against recovering only part of an
// unacknowledged write, and against further writes to a log that has failed. In a crash the
// process is killed or the machine loses power, in any order. After a sync that failed, no
// later one makes what was written before durable.
func TestCrashKeepsAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		fs := newMemFS(rng)
		options := Options{Dir: "data", FS: fs, SegmentBytes: 200}
		var acknowledged, attempted model
		for range 8 {
			log, contents, err := Open(options)
			if err != nil && errors.Is(err, errInjected) {
				end(rng, fs)
				continue
			}
			assert.NilError(t, err)
			if !acknowledged.matches(contents) && !attempted.matches(contents) {
				t.Fatalf("recovered %+v\nacknowledged %+v\nattempted %+v", contents, acknowledged, attempted)
			}
			if acknowledged = attempted; !acknowledged.matches(contents) {
				acknowledged = model{contents.HardState, contents.Snapshot, contents.Entries}
			}
			if contents.Identity == nil {
				assert.NilError(t, log.SaveIdentity(Identity{MemberID: 7}))
			}
			fs.failAfterOperations = rng.IntN(60)
			for {
				var write func(*Log) error
				write, attempted = randomOperation(rng, acknowledged)
				if err = write(log); err != nil {
					break
				}
				acknowledged = attempted
			}
			assert.ErrorIs(t, err, ErrFailed)
			injectedFailures := fs.injectedFailures
			assert.ErrorIs(t, log.Append(nil, nil), ErrFailed)
			assert.ErrorIs(t, log.SaveSnapshot(raft.Snapshot{}), ErrFailed)
			assert.Equal(t, fs.injectedFailures, injectedFailures, "the failed log accessed the filesystem again")
			end(rng, fs)
			if rng.IntN(3) == 0 {
				fs.failAfterOperations = rng.IntN(6) // The next Open may fail too, followed by another crash.
			}
		}
	})
}

// TestCorruptionIsReported guards against silently dropping acknowledged records when a
// byte of a segment has changed in any record but the last.
func TestCorruptionIsReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		fs := newMemFS(rng)
		options := Options{Dir: "data", FS: fs, SegmentBytes: 150}
		log, _, err := Open(options)
		assert.NilError(t, err)
		assert.NilError(t, log.SaveIdentity(Identity{MemberID: 7}))
		lastRecordOffset := 0
		for i := range uint64(12) {
			lastFile := fs.files["data/"+segmentFileName(log.segments[len(log.segments)-1].number)]
			lastRecordOffset = len(lastFile.data)
			entry := raft.Entry{Index: i + 1, Term: 1, Kind: raft.EntryCommand, Data: []byte("data")}
			assert.NilError(t, log.Append(&raft.HardState{Term: 1}, []raft.Entry{entry}))
		}
		number := uint64(1 + rng.IntN(len(log.segments)))
		path := "data/" + segmentFileName(number)
		file := fs.files[path]
		size := len(file.data)
		if number == uint64(len(log.segments)) {
			size = min(size, lastRecordOffset) // A corrupt last record is indistinguishable from a torn one.
		}
		offset := rng.IntN(size)
		file.data[offset] ^= byte(1 + rng.IntN(255))
		_, _, err = Open(options)
		var corruption *CorruptionError
		assert.Assert(t, errors.As(err, &corruption), "Open reported no corruption: %v", err)
		assert.Equal(t, corruption.File, path)
		assert.Assert(t, corruption.Offset <= int64(offset))
	})
}

// TestOpenLocksDirectory guards against two processes that append to the same log.
func TestOpenLocksDirectory(t *testing.T) {
	dir := t.TempDir()
	log, _, err := Open(Options{Dir: dir})
	assert.NilError(t, err)
	_, _, err = Open(Options{Dir: dir})
	assert.ErrorIs(t, err, ErrLocked)
	assert.NilError(t, log.SaveIdentity(Identity{MemberID: 1 << 63, ClusterID: 5}))
	assert.NilError(t, log.Close())
	log, contents, err := Open(Options{Dir: dir})
	assert.NilError(t, err)
	assert.Equal(t, *contents.Identity, Identity{MemberID: 1 << 63, ClusterID: 5})
	assert.NilError(t, log.Close())
}

// TestCompactionBoundsLogSize guards against a log that keeps the entries covered by
// snapshots, so that a restart would read the whole history.
func TestCompactionBoundsLogSize(t *testing.T) {
	fs := newMemFS(rand.New(rand.NewPCG(1, 4)))
	options := Options{Dir: "data", FS: fs, SegmentBytes: 10_000}
	log, _, err := Open(options)
	assert.NilError(t, err)
	assert.NilError(t, log.SaveIdentity(Identity{MemberID: 7}))
	for i := uint64(1); i <= 100_000; i++ {
		entry := raft.Entry{Index: i, Term: 1, Kind: raft.EntryCommand, Data: []byte("data")}
		assert.NilError(t, log.Append(&raft.HardState{Term: 1}, []raft.Entry{entry}))
		if i%1000 == 0 {
			meta := raft.SnapshotMeta{Index: i - 10, Term: 1}
			assert.NilError(t, log.SaveSnapshot(raft.Snapshot{Meta: meta}))
		}
	}
	totalBytes := 0
	for path, f := range fs.files {
		totalBytes += len(f.data)
		assert.Check(t, cmp.Equal(strings.Contains(path, temporarySuffix), false))
	}
	assert.Assert(t, totalBytes < 30_000, "%d bytes remain after compaction", totalBytes)
	_, contents, err := Open(options)
	assert.NilError(t, err)
	assert.Equal(t, len(contents.Entries), 10)
}

// TestLostHardStateIsReported guards against a member that starts with an empty hard state,
// and so votes again in a term in which it has voted, because its only segment is unreadable.
func TestLostHardStateIsReported(t *testing.T) {
	fs := newMemFS(rand.New(rand.NewPCG(1, 5)))
	options := Options{Dir: "data", FS: fs}
	log, _, err := Open(options)
	assert.NilError(t, err)
	assert.NilError(t, log.SaveIdentity(Identity{MemberID: 7}))
	assert.NilError(t, log.Append(&raft.HardState{Term: 3, Vote: 7}, nil))
	path := "data/" + segmentFileName(1)
	fs.files[path].data = fs.files[path].data[:recordHeaderBytes-1]
	_, _, err = Open(options)
	var corruption *CorruptionError
	assert.Assert(t, errors.As(err, &corruption), "Open reported no corruption: %v", err)
}
