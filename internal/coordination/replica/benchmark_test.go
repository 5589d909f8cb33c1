package replica

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

const benchmarkCommandBytes = 128

// BenchmarkPropose measures the rate and the latency of proposals made on the leader.
func BenchmarkPropose(b *testing.B) {
	for _, members := range []int{1, 3} {
		for _, proposers := range []int{1, 64} {
			b.Run(fmt.Sprintf("members=%d/proposers=%d", members, proposers), func(b *testing.B) {
				c := newCluster(b, members, 0, 0)
				c.waitForVoters(members)
				benchmarkPropose(b, c.members[c.leaderIndex()], proposers)
			})
		}
	}
}

func benchmarkPropose(b *testing.B, member *testMember, proposers int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var next atomic.Int64
	totalLatencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	b.ResetTimer()
	for range proposers {
		group.Go(func() {
			latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			command := make([]byte, benchmarkCommandBytes)
			for next.Add(1) <= int64(b.N) {
				start := time.Now()
				_, _, err := member.Propose(context.Background(), command)
				assert.Check(b, err)
				_ = latencies.RecordValue(time.Since(start).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			totalLatencies.Merge(latencies)
		})
	}
	group.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
	b.ReportMetric(float64(totalLatencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(totalLatencies.ValueAtQuantile(99))/1000, "p99-ms")
}

// BenchmarkRestart measures the time from Open of a single member, whose log holds the
// given number of entries, until its first linearizable read.
func BenchmarkRestart(b *testing.B) {
	for _, entries := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			c := newCluster(b, 1, 0, 0)
			c.waitForVoters(1)
			fillLog(b, c.members[0], entries)
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				c.kill(0)
				b.StartTimer()
				c.restart(0)
				_, err := c.members[0].ReadIndex(context.Background())
				assert.NilError(b, err)
			}
		})
	}
}

func fillLog(b *testing.B, member *testMember, entries int) {
	var group sync.WaitGroup
	var next atomic.Int64
	for range 256 {
		group.Go(func() {
			for next.Add(1) <= int64(entries) {
				_, _, err := member.Propose(context.Background(), make([]byte, benchmarkCommandBytes))
				assert.Check(b, err)
			}
		})
	}
	group.Wait()
}

// BenchmarkReplacement measures the time from the start of a member at a new address until it
// has replaced a voter that was killed just before, with and without proposals every 300 ms.
func BenchmarkReplacement(b *testing.B) {
	for _, isBusy := range []bool{false, true} {
		b.Run(fmt.Sprintf("proposals=%t", isBusy), func(b *testing.B) {
			durations := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
			for range b.N {
				_ = durations.RecordValue(measureReplacement(b, isBusy).Milliseconds())
			}
			b.ReportMetric(float64(durations.ValueAtQuantile(50)), "p50-ms")
			b.ReportMetric(float64(durations.Max()), "max-ms")
		})
	}
}

func measureReplacement(b *testing.B, isBusy bool) time.Duration {
	c := newCluster(b, 5, 0, 0)
	defer func() {
		for i := range c.members {
			c.kill(i)
		}
	}()
	c.waitForVoters(5)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	if isBusy {
		proposer := c.members[1]
		group.Go(func() { proposeAtIntervals(ctx, proposer) })
	}
	c.kill(0)
	start := time.Now()
	c.addMember()
	c.waitForVoters(5)
	elapsed := time.Since(start)
	cancel()
	group.Wait()
	return elapsed
}

func proposeAtIntervals(ctx context.Context, member *testMember) {
	const interval = 300 * time.Millisecond
	for ctx.Err() == nil {
		// A proposal may fail while the cluster has no leader.
		_, _, _ = member.Propose(ctx, make([]byte, benchmarkCommandBytes))
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}
