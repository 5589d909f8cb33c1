package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

// BenchmarkEdits measures the latency of configuration edits through the operators' API,
// sent one at a time by one client, with control members that run as separate processes
// on one machine.
func BenchmarkEdits(b *testing.B) {
	for _, count := range []int{1, 3} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			m := newControlCluster(b, count)
			m.waitVoters(0, count)
			e := &editor{controlCluster: m, version: 1}
			leader := m.leader()
			// All edits go to the leader, because a forwarded edit takes one more hop.
			e.memberSettings = e.memberSettings[leader : leader+1]
			latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			b.ResetTimer()
			for i := range b.N {
				started := time.Now()
				version, err := e.edit(i+1, e.version)
				assert.NilError(b, err)
				e.version = version
				assert.NilError(b, latencies.RecordValue(time.Since(started).Microseconds()))
			}
			b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-us")
		})
	}
}

// BenchmarkFailover measures how long edits are blocked after the leader of three
// control members is killed: from the kill to the next accepted edit.
func BenchmarkFailover(b *testing.B) {
	m := newControlCluster(b, 3)
	m.waitVoters(0, 3)
	e := &editor{controlCluster: m, version: 1}
	outages := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	for i := range b.N {
		leader := m.leader()
		version, err := e.edit(i+1, e.version)
		assert.NilError(b, err)
		m.killMember(leader)
		started := time.Now()
		e.version, err = e.edit(b.N+i+1, version)
		assert.NilError(b, err)
		assert.NilError(b, outages.RecordValue(time.Since(started).Milliseconds()))
		m.startMember(leader)
		m.waitVoters(leader, 3)
	}
	b.ReportMetric(float64(outages.ValueAtQuantile(50)), "p50-ms")
	b.ReportMetric(float64(outages.Max()), "max-ms")
}
