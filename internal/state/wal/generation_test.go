package wal

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

const (
	generationMember  = 7
	generationCluster = 5
)

// newCorruptDir returns a file system with a data directory in which a byte of the first
// record has changed.
func newCorruptDir(t *testing.T, seed uint64, identity Identity) (*memFS, Options) {
	fs := newMemFS(rand.New(rand.NewPCG(seed, 6)))
	options := Options{Dir: "data", FS: fs}
	log, _, err := OpenNewest(options)
	assert.NilError(t, err)
	writeState(t, log, identity)
	corruptSegment(fs, "data")
	return fs, options
}

func writeState(t *testing.T, log *Log, identity Identity) {
	assert.NilError(t, log.SaveIdentity(identity))
	entry := raft.Entry{Index: 1, Term: 3, Kind: raft.EntryCommand, Data: []byte("data")}
	assert.NilError(t, log.Append(&raft.HardState{Term: 3, Vote: identity.MemberID}, []raft.Entry{entry}))
	assert.NilError(t, log.Append(nil, nil))
}

func corruptSegment(fs *memFS, dir string) {
	file := fs.files[dir+"/"+segmentFileName(1)]
	file.data[len(file.data)/3] ^= 1
}

func corruptionOf(err error) *CorruptionError {
	var corruption *CorruptionError
	errors.As(err, &corruption)
	return corruption
}

// TestCorruptLogIsReplaced guards against a member that stays away because its log is corrupt,
// against one that comes back with its old ID or without its cluster, and against changes to
// the corrupt files, which an operator may need.
func TestCorruptLogIsReplaced(t *testing.T) {
	fs, options := newCorruptDir(t, 1, Identity{MemberID: generationMember, ClusterID: generationCluster})
	before := fs.contents("data/" + segmentFileName(1))

	log, contents, err := OpenNewest(options)
	assert.NilError(t, err)
	assert.Assert(t, contents.Corruption != nil)
	assert.Equal(t, contents.Generation, 2)
	assert.Assert(t, contents.Identity == nil)
	assert.Equal(t, contents.PreviousClusterID, uint64(generationCluster))
	assert.Equal(t, contents.HardState, raft.HardState{})
	assert.Equal(t, len(contents.Entries), 0)
	assert.Equal(t, fs.contents("data/"+segmentFileName(1)), before)

	newIdentity := Identity{MemberID: 8, ClusterID: generationCluster}
	writeState(t, log, newIdentity)
	_, contents, err = OpenNewest(options)
	assert.NilError(t, err)
	assert.Assert(t, contents.Corruption == nil)
	assert.Equal(t, *contents.Identity, newIdentity)
	assert.Equal(t, contents.Generation, 2)
	assert.Equal(t, len(contents.Entries), 1)
}

// TestReplacedLogsAreBounded guards against a failing disk on which corrupt logs pile up.
func TestReplacedLogsAreBounded(t *testing.T) {
	identity := Identity{MemberID: generationMember, ClusterID: generationCluster}
	fs, options := newCorruptDir(t, 1, identity)
	for generation := 2; generation <= maxGenerations; generation++ {
		log, contents, err := OpenNewest(options)
		assert.NilError(t, err)
		assert.Equal(t, contents.Generation, generation)
		writeState(t, log, identity)
		corruptSegment(fs, generationDir("data", generation))
	}
	_, _, err := OpenNewest(options)
	assert.Assert(t, corruptionOf(err) != nil, "OpenNewest reported no corruption: %v", err)
}

// TestLogWithoutClusterIsNotReplaced guards against a member that creates a second cluster
// because the cluster that its corrupt log belonged to is unknown.
func TestLogWithoutClusterIsNotReplaced(t *testing.T) {
	tests := []struct {
		name     string
		identity Identity
		corrupt  func(fs *memFS)
	}{
		{"no cluster yet", Identity{MemberID: generationMember}, func(*memFS) {}},
		{"identity unreadable", Identity{MemberID: generationMember, ClusterID: generationCluster}, func(fs *memFS) {
			fs.files["data/"+identityFileName].data[0] = 'x'
		}},
		{"identity missing", Identity{MemberID: generationMember, ClusterID: generationCluster}, func(fs *memFS) {
			delete(fs.files, "data/"+identityFileName)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fs, options := newCorruptDir(t, 1, test.identity)
			test.corrupt(fs)
			_, _, err := OpenNewest(options)
			assert.Assert(t, corruptionOf(err) != nil, "OpenNewest reported no corruption: %v", err)
			names := slices.Collect(maps.Keys(fs.files))
			assert.Assert(t, !slices.ContainsFunc(names, func(name string) bool { return strings.Contains(name, "generation") }), "%v", names)
		})
	}
}

// TestCrashWhileLogIsReplaced guards against a member that comes back under its old ID, bound to
// no cluster, or without an identity that was saved, when the replacement of its corrupt log is
// interrupted at any step.
func TestCrashWhileLogIsReplaced(t *testing.T) {
	for step := range 30 {
		for _, end := range []func(*memFS){(*memFS).kill, (*memFS).crash} {
			for seed := range uint64(20) {
				fs, options := newCorruptDir(t, seed, Identity{MemberID: generationMember, ClusterID: generationCluster})
				assert.NilError(t, fs.SyncDir("data"))
				fs.failAfterOperations = step
				isSaved := false
				if log, contents, err := OpenNewest(options); err == nil {
					assert.Equal(t, contents.PreviousClusterID, uint64(generationCluster))
					isSaved = log.SaveIdentity(Identity{MemberID: 8, ClusterID: contents.PreviousClusterID}) == nil
				}
				end(fs)
				_, contents, err := OpenNewest(options)
				assert.NilError(t, err, "step %d, seed %d", step, seed)
				assert.Assert(t, contents.Identity != nil || !isSaved, "the new identity is lost, step %d, seed %d", step, seed)
				clusterID := contents.PreviousClusterID
				if contents.Identity != nil {
					assert.Equal(t, contents.Identity.MemberID, uint64(8))
					clusterID = contents.Identity.ClusterID
				}
				assert.Equal(t, clusterID, uint64(generationCluster))
			}
		}
	}
}
