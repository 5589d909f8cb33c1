package slo

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// sizeCountingProposer applies commands to a machine and sums their sizes.
type sizeCountingProposer struct {
	machine      *Machine
	commandBytes int
}

func (p *sizeCountingProposer) Propose(_ context.Context, command []byte) ([]byte, uint64, error) {
	p.commandBytes += len(command)
	return p.machine.Apply(1, command), 1, nil
}

// BenchmarkCheckpoint measures the checkpoint of one minute of counts from nodes with
// four services each: time, bytes of commands in the log, snapshot size and heap memory.
func BenchmarkCheckpoint(b *testing.B) {
	for _, size := range [][2]int{{6400, 360}, {3200, 360}, {6400, 720}} {
		b.Run(fmt.Sprintf("nodes=%d/services=%d", size[0], size[1]), func(b *testing.B) {
			benchmarkCheckpoint(b, size[0], size[1])
		})
	}
}

func benchmarkCheckpoint(b *testing.B, nodes, services int) {
	const servicesPerNode = 4
	initialHeapBytes := heapBytes()
	machine, now := NewMachine(), testStart
	proposer := &sizeCountingProposer{machine: machine}
	collector := NewCollector()
	minute := 0
	for b.Loop() {
		minute++
		now = now.Add(time.Minute)
		for n := range nodes {
			counts := make([]*wire.BurnCount, servicesPerNode)
			for s := range counts {
				counts[s] = &wire.BurnCount{
					Service: fmt.Sprint("service-", (n*services/nodes+s)%services), Good: uint64(4500 * minute), Bad: uint64(minute),
				}
			}
			collector.Observe(now, fmt.Sprintf("node-%05d", n), 1<<60, counts)
		}
		if err := collector.Checkpoint(context.Background(), now, proposer); err != nil {
			b.Fatal(err)
		}
	}
	snapshot, _ := machine.Snapshot()
	b.ReportMetric(float64(proposer.commandBytes)/float64(minute), "log_bytes")
	b.ReportMetric(float64(len(snapshot)), "snapshot_bytes")
	b.ReportMetric((heapBytes()-initialHeapBytes)/(1<<20), "MB")
	runtime.KeepAlive(collector)
	runtime.KeepAlive(proposer)
}
