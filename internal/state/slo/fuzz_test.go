package slo

import (
	"bytes"
	"reflect"
	"strconv"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

func fuzzCommand(unixMs int64, good uint64) []byte {
	counts := []*wire.BurnCount{{Service: "s", Good: good, Bad: 1}}
	node := &wire.NodeCounts{NodeId: "n", NodeStart: 1, Counts: counts}
	data, _ := proto.Marshal(&wire.BurnCheckpoint{UnixMs: unixMs, Nodes: []*wire.NodeCounts{node}})
	return data
}

func snapshotOf(t *testing.T, m *Machine) []byte {
	data, err := m.Snapshot()
	assert.NilError(t, err)
	return data
}

// FuzzApply guards against a command that panics, and against a command whose result or
// effect differs on a member that was restored from a snapshot just before the command.
func FuzzApply(f *testing.F) {
	f.Add(fuzzCommand(testStart.UnixMilli(), 5), fuzzCommand(testStart.UnixMilli()+60_000, 7))
	f.Add(fuzzCommand(1, 5), fuzzCommand(1<<62, 0))
	f.Add(fuzzCommand(testStart.UnixMilli(), ^uint64(0)), fuzzCommand(0, 0))
	f.Add(fuzzCommand(-1, 1), []byte{0xff})
	f.Add(fuzzCommand(1<<40, 5), fuzzCommand(1<<40+minuteBuckets*60_000, 5))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		uninterrupted, restarted := NewMachine(), NewMachine()
		for i, command := range [][]byte{first, second} {
			assert.NilError(t, restarted.Restore(snapshotOf(t, uninterrupted)))
			result := uninterrupted.Apply(uint64(i), command)
			assert.Assert(t, bytes.Equal(result, restarted.Apply(uint64(i), command)))
			assert.Assert(t, bytes.Equal(snapshotOf(t, uninterrupted), snapshotOf(t, restarted)))
			assert.Assert(t, reflect.DeepEqual(uninterrupted.series, restarted.series))
		}
		assert.NilError(t, restarted.Restore(snapshotOf(t, uninterrupted)))
		assert.Assert(t, reflect.DeepEqual(uninterrupted.series, restarted.series))
	})
}

func emptySeries(count int) []*wire.BurnSeries {
	series := make([]*wire.BurnSeries, count)
	for i := range series {
		series[i] = &wire.BurnSeries{Service: strconv.Itoa(i)}
	}
	return series
}

// FuzzRestore guards against a panic on a malformed snapshot, against a failed restore
// that changes the state, against a restored state whose own snapshot restores to a
// different state, and against more services or node incarnations than Apply admits.
func FuzzRestore(f *testing.F) {
	m := NewMachine()
	m.Apply(0, fuzzCommand(testStart.UnixMilli(), 5))
	data, _ := m.Snapshot()
	f.Add(data)
	f.Add(data[:len(data)-1])
	buckets := []*wire.BurnBucket{{Start: -1, Good: 1}, {Start: 1 << 62, Good: ^uint64(0), Bad: 1}}
	malformed, _ := proto.Marshal(&wire.BurnSnapshot{Series: []*wire.BurnSeries{{Minutes: buckets, Hours: buckets}}})
	f.Add(malformed)
	tooManySeries, _ := proto.Marshal(&wire.BurnSnapshot{Series: emptySeries(maxServices + 1)})
	f.Add(tooManySeries)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, restoredAgain := NewMachine(), NewMachine()
		empty := snapshotOf(t, m)
		if err := m.Restore(data); err != nil {
			assert.Assert(t, errors.Is(err, ErrSnapshot))
			assert.Assert(t, bytes.Equal(snapshotOf(t, m), empty))
			return
		}
		assert.Assert(t, len(m.series) <= maxServices && len(m.nodes) <= maxNodeIncarnations)
		assert.NilError(t, restoredAgain.Restore(snapshotOf(t, m)))
		assert.Assert(t, bytes.Equal(snapshotOf(t, restoredAgain), snapshotOf(t, m)))
	})
}
