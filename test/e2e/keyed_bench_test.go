package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

// BenchmarkKeyed measures throughput and latency of requests with and without an
// idempotency key through one entry node, with three control members. All processes run on
// one machine.
func BenchmarkKeyed(b *testing.B) {
	m := newControlCluster(b, 3)
	m.waitVoters(0, 3)
	serviceURL := "http://" + m.startNode("seq-a").EntryListen + "/svc/drafts/"
	for i := range 4 {
		m.startUpstream("drafts", fmt.Sprint("drafts-", i), m.startNode("seq-a"))
	}
	waitOK(b, serviceURL)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for _, callers := range []int{1, 16} {
		for _, keyed := range []bool{false, true} {
			b.Run(fmt.Sprintf("callers=%d/keyed=%t", callers, keyed), func(b *testing.B) {
				var lastIndex, refused atomic.Int64
				var mu sync.Mutex
				latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
				var group sync.WaitGroup
				for range callers {
					group.Go(func() {
						for {
							i := lastIndex.Add(1)
							if i > int64(b.N) {
								return
							}
							request, _ := http.NewRequest(http.MethodPost, serviceURL, strings.NewReader("body"))
							if keyed {
								request.Header.Set(httpapi.HeaderIdempotencyKey, fmt.Sprint(b.Name(), b.N, "-", i))
							}
							started := time.Now()
							response, err := client.Do(request)
							if !assert.Check(b, err) {
								return
							}
							_ = response.Body.Close()
							if response.StatusCode != http.StatusOK {
								refused.Add(1)
								continue
							}
							mu.Lock()
							_ = latencies.RecordValue(time.Since(started).Microseconds())
							mu.Unlock()
						}
					})
				}
				group.Wait()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
				b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-us")
				b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-us")
				b.ReportMetric(float64(refused.Load()), "refused")
			})
		}
	}
}
