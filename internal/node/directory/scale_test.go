package directory

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// scaleState returns a state with the given number of services in the document. The first
// usedServices of them, which the node subscribes to, have instancesPerService instances
// each.
func scaleState(services, usedServices, instancesPerService int) *wire.StateFull {
	doc := document.Document{Services: map[string]document.Service{}}
	state := &wire.StateFull{Revision: 1, RegistryVersion: 1}
	for i := range services {
		name := fmt.Sprint("service-", i)
		doc.Services[name] = document.Service{
			Owner: "platform", Hosts: []string{name + ".example"}, TimeoutMs: 5000,
			Rules:     []document.RequestRule{{Methods: []string{"POST"}, PathPrefix: "/search", Repeatable: true}},
			Objective: document.Objective{GoodWithinMs: 300, Share: 0.999, WindowHours: 720},
		}
		for j := range instancesPerService {
			if i < usedServices {
				state.Instances = append(state.Instances, scaleInstance(name, j))
			}
		}
	}
	state.Document, _ = json.Marshal(doc)
	return state
}

func scaleInstance(service string, i int) *wire.Instance {
	id := fmt.Sprintf("%s-%04d", service, i)
	return &wire.Instance{
		Id: id, StartId: "0123456789abcdef", Service: service, Zone: "zone-1", NodeAddress: fmt.Sprint("10.10.10.10:7", i),
		Slots: 10, Connections: 200, State: wire.InstanceState_INSTANCE_WARM, NodeId: "node-" + id, NodeStart: 1 << 60,
	}
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkDirectory measures the heap memory of the directory, and the time to apply a
// diff of one section and a diff of one instance.
func BenchmarkDirectory(b *testing.B) {
	for _, size := range [][3]int{{360, 4, 18}, {360, 360, 18}, {720, 4, 18}} {
		b.Run(fmt.Sprintf("services=%d/used=%d/instances=%d", size[0], size[1], size[2]), func(b *testing.B) {
			before := heapBytes()
			d := New(nil)
			d.Apply(scaleState(size[0], size[1], size[2]))
			usedBytes := heapBytes() - before
			section, _ := json.Marshal(d.View().Doc.Services["service-1"])
			revision := uint64(1)
			for b.Loop() {
				d.ApplyDiff(&wire.StateDiff{
					BaseRevision: revision, Revision: revision + 1,
					Sections: []*wire.Section{{Path: "services/service-1", Json: section}},
				})
				d.ApplyDiff(&wire.StateDiff{
					RegistryVersion: revision + 1, Changed: []*wire.Instance{scaleInstance("service-1", 3)},
				})
				revision++
			}
			b.ReportMetric(usedBytes/1024, "KB")
			runtime.KeepAlive(d)
		})
	}
}
