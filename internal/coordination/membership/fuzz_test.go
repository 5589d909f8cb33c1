package membership

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// FuzzRegistry guards against a panic on any heartbeat of a node or update of a
// member, and against a full update from which another member learns of fewer
// or other nodes than this member has.
func FuzzRegistry(f *testing.F) {
	instance := &wire.Instance{Id: "a", Service: "s", StartId: "1", NodeId: "n"}
	heartbeat, _ := proto.Marshal(&wire.Heartbeat{NodeId: "n", NodeStart: 1, Sequence: 1, Instance: instance})
	otherLease := &wire.Lease{NodeId: "n", NodeStart: 2, Instance: instance}
	update, _ := proto.Marshal(&wire.RegistryUpdate{Member: "m", Epoch: 1, Full: true, Leases: []*wire.Lease{otherLease, nil}})
	removal, _ := proto.Marshal(&wire.RegistryUpdate{Member: "m", Epoch: 1, Removed: []string{"n"}, RemovedLeases: []*wire.Lease{otherLease}})
	f.Add(heartbeat, update, removal)
	f.Add(update, heartbeat, update)
	f.Add([]byte{}, []byte{}, []byte{})
	f.Fuzz(func(t *testing.T, heartbeatData, firstUpdate, secondUpdate []byte) {
		now := time.Unix(1000, 0)
		registry, heartbeat := NewRegistry(), &wire.Heartbeat{}
		if proto.Unmarshal(heartbeatData, heartbeat) == nil {
			registry.Renew(now, heartbeat)
		}
		for _, data := range [][]byte{firstUpdate, secondUpdate} {
			update := &wire.RegistryUpdate{}
			if proto.Unmarshal(data, update) == nil {
				registry.Merge(now, update)
			}
		}
		registry.Tick(now.Add(time.Hour), true)
		full, version, _ := registry.UpdateSince(0)
		full.Member, full.Epoch = "fuzz", 1
		encoded, err := proto.Marshal(full)
		assert.NilError(t, err)
		received := &wire.RegistryUpdate{}
		assert.NilError(t, proto.Unmarshal(encoded, received))
		receiver := NewRegistry()
		receiver.Merge(now, received)
		assert.Equal(t, len(receiver.leases), len(full.GetLeases()))
		changes, _, _ := registry.UpdateSince(version)
		assert.Equal(t, len(changes.GetLeases()), 0)
	})
}
