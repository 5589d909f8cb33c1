package claims

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

func claimCommand(i int) []byte {
	claim := &wire.Claim{
		Service: "approvals", Key: fmt.Sprintf("c0ffee00-0000-4000-8000-%012d", i),
		Fingerprint: make([]byte, 32), AttemptId: []byte(fmt.Sprintf("%016d", i)), NodeId: fmt.Sprint("node-", i%100),
	}
	data, err := EncodeClaim(claim, Terms{ProposedAt: start, Timeout: time.Minute, Retention: 24 * time.Hour, CapacityBytes: 1 << 40})
	if err != nil {
		panic(err)
	}
	return data
}

func outcomeCommand(i, bodyBytes int) []byte {
	outcome := &wire.RecordOutcome{
		Service: "approvals", Key: fmt.Sprintf("c0ffee00-0000-4000-8000-%012d", i), AttemptId: []byte(fmt.Sprintf("%016d", i)),
		Response: &wire.RecordedResponse{Status: 200, Body: make([]byte, bodyBytes)},
	}
	data, err := EncodeRecordOutcome(outcome, start)
	if err != nil {
		panic(err)
	}
	return data
}

// machineWithClaims returns a machine with n claims in progress.
func machineWithClaims(n int) *Machine {
	m := NewMachine()
	for i := range n {
		m.Apply(0, claimCommand(i))
	}
	return m
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkBytesPerRecord measures the memory of a record in progress and of one
// with a recorded response of 200 bytes, the estimate that counts against the capacity
// (B/counted), and the size of the record in a snapshot.
func BenchmarkBytesPerRecord(b *testing.B) {
	const records = 200000
	for range b.N {
		before := heapBytes()
		m := machineWithClaims(records)
		b.ReportMetric(float64(heapBytes()-before)/records, "B/in-progress")
		for i := range records {
			m.Apply(0, outcomeCommand(i, 200))
		}
		b.ReportMetric(float64(heapBytes()-before)/records, "B/completed")
		b.ReportMetric(float64(m.usedBytes)/records, "B/counted")
		snapshot, _ := m.Snapshot()
		b.ReportMetric(float64(len(snapshot))/records, "B/snapshot")
	}
}

// BenchmarkApply measures a claim followed by the recording of its response, on a
// machine with 100,000 records.
func BenchmarkApply(b *testing.B) {
	m := machineWithClaims(100000)
	commands := make([][]byte, 0, 2*b.N)
	for i := range b.N {
		commands = append(commands, claimCommand(100000+i), outcomeCommand(100000+i, 200))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, command := range commands {
		m.Apply(0, command)
	}
}
