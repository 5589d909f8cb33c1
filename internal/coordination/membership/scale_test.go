package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// targetNodes is the number of nodes in the target deployment in docs/design.md.
const targetNodes = 6400

func newTargetNodes() []*fakeNode {
	nodes := newFakeNodes(targetNodes)
	for _, n := range nodes {
		n.address = "10.10.10.10:7000-" + n.name
	}
	return nodes
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkRenew measures the decoding and processing of one heartbeat at 6,400 nodes.
func BenchmarkRenew(b *testing.B) {
	nodes := newTargetNodes()
	messages := make([][]byte, len(nodes))
	now := time.Now()
	for i, n := range nodes {
		messages[i], _ = proto.Marshal(n.nextHeartbeat())
	}
	heapBefore := heapBytes()
	r := NewRegistry()
	renew := func(data []byte) {
		heartbeat := &wire.Heartbeat{}
		_ = proto.Unmarshal(data, heartbeat)
		r.Renew(now, heartbeat)
	}
	for _, data := range messages {
		renew(data)
	}
	bytesPerNode := (heapBytes() - heapBefore) / targetNodes
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		renew(messages[i%len(messages)])
		i++
	}
	b.ReportMetric(bytesPerNode, "B/node")
	runtime.KeepAlive(r)
}

// BenchmarkTick measures the check of all leases at 6,400 nodes.
func BenchmarkTick(b *testing.B) {
	r := NewRegistry()
	now := time.Now()
	for _, n := range newTargetNodes() {
		r.Renew(now, n.nextHeartbeat())
	}
	for b.Loop() {
		r.Tick(now, true)
	}
}

// BenchmarkExchange measures a full update with a fifth of 6,400 nodes to another
// member and an update with one changed node.
func BenchmarkExchange(b *testing.B) {
	now := time.Now()
	nodes := newTargetNodes()[:targetNodes/5]
	from := NewRegistry()
	for _, n := range nodes {
		from.Renew(now, n.nextHeartbeat())
	}
	var fullBytes, changeBytes int
	for b.Loop() {
		to := NewRegistry()
		update, version, _ := from.UpdateSince(0)
		update.Member, update.Epoch = "member-1", 1
		fullBytes = proto.Size(update)
		to.Merge(now, update)
		nodes[0].version++
		from.Renew(now, nodes[0].nextHeartbeat())
		update, _, _ = from.UpdateSince(version)
		changeBytes = proto.Size(update)
	}
	b.ReportMetric(float64(fullBytes), "full_bytes")
	b.ReportMetric(float64(changeBytes), "change_bytes")
}

// BenchmarkInstances measures a full list and a difference for 4 of 360 services at
// 6,400 nodes.
func BenchmarkInstances(b *testing.B) {
	now := time.Now()
	r := NewRegistry()
	for i, n := range newTargetNodes() {
		heartbeat := n.nextHeartbeat()
		heartbeat.Instance.Service = fmt.Sprint("service-", i%360)
		r.Renew(now, heartbeat)
	}
	services := map[string]bool{"service-1": true, "service-2": true, "service-3": true, "service-4": true}
	b.Run("full", func(b *testing.B) {
		for b.Loop() {
			r.Instances(services)
		}
	})
	b.Run("difference", func(b *testing.B) {
		_, version, _, _ := r.ChangedServices(0)
		for b.Loop() {
			r.ChangesSince(version-100, services)
		}
	})
}
