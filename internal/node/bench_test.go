package node

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkAddedLatency calls one upstream directly and through two nodes alternately in
// the same run, and reports the difference of the latency percentiles in microseconds:
// for one caller, and for 2,000 calls per second by 16 callers.
func BenchmarkAddedLatency(b *testing.B) {
	control := newFakeControl(b)
	entry := control.startNode(b, "entry", "a", "")
	upstreamNode := control.startNode(b, "beside", "a", "")
	upstreamNode.slots = 16
	upstreamNode.serve(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "response") })
	entry.waitForInstances(b, 1)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	call := func(url string) time.Duration {
		start := time.Now()
		response, err := client.Get(url)
		if err != nil || response.StatusCode != http.StatusOK {
			return -1
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return time.Since(start)
	}
	directURL, nodesURL := upstreamNode.upstream.URL+"/x", entry.url("/x")
	eventually(b, func() bool { // until the upstream is warm
		call(nodesURL)
		return stateName(upstreamNode.Node.upstream.gate.Report().GetState()) == "warm"
	})
	for _, load := range []struct {
		name     string
		callers  int
		interval time.Duration
	}{{"one caller", 1, 0}, {"2000 calls a second", 16, 16 * time.Second / 2000}} {
		b.Run(load.name, func(b *testing.B) {
			b.ReportAllocs()
			latencies := map[string][]time.Duration{}
			failed := 0
			var mu sync.Mutex
			var group sync.WaitGroup
			for caller := range load.callers {
				group.Go(func() {
					time.Sleep(load.interval * time.Duration(caller) / time.Duration(load.callers))
					next := time.Now()
					for i := caller; i < b.N; i += load.callers {
						next = next.Add(load.interval)
						time.Sleep(time.Until(next))
						url := []string{directURL, nodesURL}[(i/load.callers)%2]
						latency := call(url)
						mu.Lock()
						if latency >= 0 {
							latencies[url] = append(latencies[url], latency)
						} else {
							failed++
						}
						mu.Unlock()
					}
				})
			}
			group.Wait()
			if len(latencies[nodesURL]) < 100 {
				return
			}
			assert.Assert(b, len(latencies[directURL]) > 0)
			for _, p := range []struct {
				unit     string
				quantile float64
			}{{"added-p50-us", 0.5}, {"added-p99-us", 0.99}} {
				added := percentile(latencies[nodesURL], p.quantile) - percentile(latencies[directURL], p.quantile)
				b.ReportMetric(float64(added.Nanoseconds())/1000, p.unit)
			}
			b.ReportMetric(float64(percentile(latencies[directURL], 0.99).Nanoseconds())/1000, "direct-p99-us")
			b.ReportMetric(float64(failed), "failed")
			b.ReportMetric(float64(upstreamNode.Node.upstream.gate.Report().GetLimit()), "limit-at-end")
		})
	}
}

func percentile(durations []time.Duration, quantile float64) time.Duration {
	slices.Sort(durations)
	return durations[int(float64(len(durations)-1)*quantile)]
}
