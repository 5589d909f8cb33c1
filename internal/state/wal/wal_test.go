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

// model is what a folder must hold.
type model struct {
	hard     raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
}

func (m model) last() uint64 {
	return m.snapshot.Meta.Index + uint64(len(m.entries))
}

func (m model) holds(c Contents) bool {
	want := Contents{Identity: c.Identity, HardState: m.hard, Snapshot: m.snapshot, Entries: m.entries}
	return fmt.Sprintf("%+v", want) == fmt.Sprintf("%+v", c)
}

// operation draws a change: what it calls, and the model after it.
func operation(rng *rand.Rand, m model) (func(*Log) error, model) {
	term := m.hard.Term + 1
	switch rng.IntN(8) {
	case 0:
		if len(m.entries) == 0 {
			break
		}
		n := 1 + rng.IntN(len(m.entries))
		at := m.entries[n-1]
		s := raft.Snapshot{Meta: raft.SnapshotMeta{Index: at.Index, Term: at.Term}, Data: []byte("own")}
		m.snapshot, m.entries = s, m.entries[n:]
		return func(l *Log) error { return l.SaveSnapshot(s) }, m
	case 1:
		index := m.snapshot.Meta.Index + 1 + uint64(rng.IntN(6))
		s := raft.Snapshot{Meta: raft.SnapshotMeta{Index: index, Term: term}, Data: []byte("installed")}
		m.snapshot, m.entries = s, nil
		return func(l *Log) error { return l.InstallSnapshot(s) }, m
	}
	m.hard.Term = term
	hard := m.hard
	count := rng.IntN(4)
	keep := len(m.entries)
	if count > 0 && rng.IntN(4) == 0 {
		keep = rng.IntN(keep + 1)
	}
	m.entries = m.entries[:keep:keep]
	for range count {
		data := []byte{byte(rng.Uint32())}
		m.entries = append(m.entries, raft.Entry{Index: m.last() + 1, Term: term, Kind: raft.EntryCommand, Data: data})
	}
	added := m.entries[keep:]
	return func(l *Log) error { return l.Append(&hard, added) }, m
}

// TestCrashKeepsAcknowledged guards against losing an acknowledged write at any crash
// point, against half an unacknowledged one, and against use after a failure.
func TestCrashKeepsAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		fs := newMemFS(rng)
		options := Options{Dir: "data", FS: fs, SegmentBytes: 200}
		var acked, attempted model
		for range 8 {
			log, contents, err := Open(options)
			if err != nil && errors.Is(err, errInjected) {
				fs.crash()
				continue
			}
			assert.NilError(t, err)
			if !acked.holds(contents) && !attempted.holds(contents) {
				t.Fatalf("found %+v\nacknowledged %+v\nattempted %+v", contents, acked, attempted)
			}
			if acked = attempted; !acked.holds(contents) {
				acked = model{contents.HardState, contents.Snapshot, contents.Entries}
			}
			if contents.Identity == nil {
				assert.NilError(t, log.SaveIdentity(Identity{MemberID: 7}))
			}
			fs.failAfter = rng.IntN(60)
			for {
				var call func(*Log) error
				call, attempted = operation(rng, acked)
				if err = call(log); err != nil {
					break
				}
				acked = attempted
			}
			assert.ErrorIs(t, err, ErrFailed)
			failures := fs.failures
			assert.ErrorIs(t, log.Append(nil, nil), ErrFailed)
			assert.ErrorIs(t, log.SaveSnapshot(raft.Snapshot{}), ErrFailed)
			assert.Equal(t, fs.failures, failures, "the failed log touched the disk again")
			fs.crash()
			if rng.IntN(3) == 0 {
				fs.failAfter = rng.IntN(6) // The next start may crash too.
			}
		}
	})
}

// TestDamageIsReported guards against silently dropping acknowledged records when a
// byte of an earlier one changes.
func TestDamageIsReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		fs := newMemFS(rng)
		options := Options{Dir: "data", FS: fs, SegmentBytes: 150}
		log, _, err := Open(options)
		assert.NilError(t, err)
		assert.NilError(t, log.SaveIdentity(Identity{MemberID: 7}))
		before := 0
		for i := range uint64(12) {
			last := fs.files["data/"+segmentName(log.segments[len(log.segments)-1].number)]
			before = len(last.data)
			entry := raft.Entry{Index: i + 1, Term: 1, Kind: raft.EntryCommand, Data: []byte("data")}
			assert.NilError(t, log.Append(&raft.HardState{Term: 1}, []raft.Entry{entry}))
		}
		number := uint64(1 + rng.IntN(len(log.segments)))
		path := "data/" + segmentName(number)
		file := fs.files[path]
		size := len(file.data)
		if number == uint64(len(log.segments)) {
			size = min(size, before) // The last record cannot be told from a torn one.
		}
		at := rng.IntN(size)
		file.data[at] ^= byte(1 + rng.IntN(255))
		_, _, err = Open(options)
		var damage *DamageError
		assert.Assert(t, errors.As(err, &damage), "no damage reported: %v", err)
		assert.Equal(t, damage.File, path)
		assert.Assert(t, damage.Offset <= int64(at))
	})
}

// TestFolderHasOneUser guards against two processes that append to one log.
func TestFolderHasOneUser(t *testing.T) {
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

// TestCompactionBoundsTheLog guards against a restart that reads the whole history.
func TestCompactionBoundsTheLog(t *testing.T) {
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
	total := 0
	for path, f := range fs.files {
		total += len(f.data)
		assert.Check(t, cmp.Equal(strings.Contains(path, temporarySuffix), false))
	}
	assert.Assert(t, total < 30_000, "%d bytes are left", total)
	_, contents, err := Open(options)
	assert.NilError(t, err)
	assert.Equal(t, len(contents.Entries), 10)
}
