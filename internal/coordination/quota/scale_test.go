package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const manyOrganisations = 10_000

// memberReport returns a report with many organisations, each of which uses twice its rate of
// 48 requests per second over five members.
func memberReport(member int, sequence uint64) *wire.QuotaReport {
	report := &wire.QuotaReport{Sender: fmt.Sprint("member-", member), SenderStart: 1, Sequence: sequence}
	for o := range manyOrganisations {
		total := sequence * 5
		report.Uses = append(report.Uses, &wire.QuotaUse{Organisation: fmt.Sprint("organisation-", o), Offered: total, Admitted: total})
	}
	return report
}

// BenchmarkOwner measures a report of a member about 10,000 organisations, all limited, and
// its grant. Five members send four of them a second each.
func BenchmarkOwner(b *testing.B) {
	allocator := NewAllocator(Bound{})
	limits := map[string]Limit{}
	for o := range manyOrganisations {
		limits[fmt.Sprint("organisation-", o)] = Limit{48, 48}
	}
	now := time.Unix(1000, 0)
	allocator.SetLimits(now, limits)
	reports := make([]*wire.QuotaReport, 5)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range b.N {
		b.StopTimer()
		now = now.Add(50 * time.Millisecond)
		member := i % len(reports)
		reports[member] = memberReport(member, uint64(i/len(reports)+1))
		b.StartTimer()
		allocator.Observe(now, reports[member])
		allocator.Grant(now, 1)
	}
	b.StopTimer()
	bytes := proto.Size(reports[0])
	clear(reports)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(bytes), "report-bytes")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
	runtime.KeepAlive(allocator)
}

// BenchmarkCollector measures the memory of a member with 1,280 nodes of 300 organisations
// each, and a report of a node with eight.
func BenchmarkCollector(b *testing.B) {
	collector := NewCollector("member", 1, nil)
	now := time.Unix(1000, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	report := func(node, first, count int, sequence uint64) *wire.QuotaReport {
		r := &wire.QuotaReport{Sender: fmt.Sprint("node-", node), SenderStart: 1, Sequence: sequence}
		for o := range count {
			name := fmt.Sprint("organisation-", (first+o)%manyOrganisations)
			r.Uses = append(r.Uses, &wire.QuotaUse{Organisation: name, Offered: sequence, Admitted: sequence})
		}
		return r
	}
	for node := range 1280 {
		collector.Observe(now, report(node, node*7, 300, 1))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for i := range b.N {
		node := i % 1280
		collector.Observe(now, report(node, node*7, 8, uint64(i/1280+2)))
		collector.Grant(now, "node", 1)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
	b.ReportMetric(float64(proto.Size(report(1, 1, 8, 2))), "report-bytes")
}

// BenchmarkMeter measures a decision at a node, and its memory with many organisations.
func BenchmarkMeter(b *testing.B) {
	meter := NewMeter("node", Bound{}, func() float64 { return 0 })
	meter.SetNodes(6400)
	now := time.Unix(1000, 0)
	names := make([]string, manyOrganisations)
	for o := range names {
		names[o] = fmt.Sprint("organisation-", o)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, name := range names {
		meter.Admit(now, name, 48, 48)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for i := range b.N {
		meter.Admit(now, names[i%manyOrganisations], 48, 48)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
}

// TestControlTraffic guards against more than 16 KB/s between a node and its member, with more
// organisations limited and used than are listed in one message.
func TestControlTraffic(t *testing.T) {
	now := time.Unix(1000, 0)
	meter := NewMeter("node", Bound{}, func() float64 { return 0 })
	collector := NewCollector("member", 1, nil)
	var shares []*wire.QuotaShare
	for o := range 1000 {
		shares = append(shares, &wire.QuotaShare{Organisation: fmt.Sprint("organisation-", o), AdmitPermille: 400, PerSecond: 48})
	}
	meter.Connect(now, 1)
	sizes := map[string]int{}
	const seconds = 20
	for i := range seconds * 10 {
		now = now.Add(ReportInterval)
		collector.Apply(now, &wire.QuotaGrant{ValidMs: 2000, Shares: shares})
		for o := range 20 {
			meter.Admit(now, fmt.Sprint("organisation-", (i*20+o)%300), 48, 48)
		}
		report := meter.Report(now)
		collector.Observe(now, report)
		grant := collector.Grant(now, "node", report.GetSequence())
		meter.Apply(now, grant)
		sizes["reports"] += proto.Size(report)
		sizes["grants"] += proto.Size(grant)
	}
	t.Logf("bytes per second: %d of reports, %d of grants", sizes["reports"]/seconds, sizes["grants"]/seconds)
	assert.Assert(t, sizes["reports"]+sizes["grants"] <= 16_000*seconds, "%v", sizes)
}
