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

// sizeLog applies commands and adds up their sizes.
type sizeLog struct {
	machine *Machine
	bytes   int
}

func (l *sizeLog) Propose(_ context.Context, command []byte) ([]byte, uint64, error) {
	l.bytes += len(command)
	return l.machine.Apply(1, command), 1, nil
}

// BenchmarkCheckpoint measures one minute of counts of nodes with four services
// each: time, bytes in the log, the snapshot and memory.
func BenchmarkCheckpoint(b *testing.B) {
	for _, size := range [][2]int{{6400, 360}, {3200, 360}, {6400, 720}} {
		b.Run(fmt.Sprintf("nodes=%d/services=%d", size[0], size[1]), func(b *testing.B) {
			benchmarkCheckpoint(b, size[0], size[1])
		})
	}
}

func benchmarkCheckpoint(b *testing.B, nodes, services int) {
	const used = 4
	before := heapBytes()
	machine, now := NewMachine(), start
	commands := &sizeLog{machine: machine}
	collector := NewCollector()
	minute := 0
	for b.Loop() {
		minute++
		now = now.Add(time.Minute)
		for n := range nodes {
			counts := make([]*wire.BurnCount, used)
			for s := range counts {
				counts[s] = &wire.BurnCount{
					Service: fmt.Sprint("service-", (n*services/nodes+s)%services), Good: uint64(4500 * minute), Bad: uint64(minute),
				}
			}
			collector.Observe(now, fmt.Sprintf("node-%05d", n), 1<<60, counts)
		}
		if err := collector.Checkpoint(context.Background(), now, commands); err != nil {
			b.Fatal(err)
		}
	}
	snapshot, _ := machine.Snapshot()
	b.ReportMetric(float64(commands.bytes)/float64(minute), "log_bytes")
	b.ReportMetric(float64(len(snapshot)), "snapshot_bytes")
	b.ReportMetric((heapBytes()-before)/(1<<20), "MB")
	runtime.KeepAlive(collector)
	runtime.KeepAlive(commands)
}
