package distribute

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// fakeQuotas numbers its reports while hasRates is set, and records the grants.
type fakeQuotas struct {
	hasRates bool
	sequence uint64
	connects int
	grants   chan *wire.QuotaGrant
}

func (q *fakeQuotas) Connect(time.Time) { q.connects++; q.sequence = 0 }

func (q *fakeQuotas) Report(time.Time) *wire.QuotaReport {
	if !q.hasRates {
		return nil
	}
	q.sequence++
	return &wire.QuotaReport{Sender: "node", SenderStart: 1, Sequence: q.sequence}
}

func (q *fakeQuotas) Apply(_ time.Time, grant *wire.QuotaGrant) { q.grants <- grant }

// TestQuotaReports guards against a report to a member that has sent no state yet or may be of
// an earlier version, and against a grant that does not reach the node.
func TestQuotaReports(t *testing.T) {
	for _, hasRates := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			nodeConn, memberConn := net.Pipe()
			ctx, cancel := context.WithCancel(context.Background())
			client := NewClient("node", []string{"member"}, func(context.Context, string) (net.Conn, error) { return nodeConn, nil }, &fakeSink{}, log.NewNopLogger())
			quotas := &fakeQuotas{hasRates: hasRates, grants: make(chan *wire.QuotaGrant, 10)}
			client.SetQuotas(quotas)
			go client.Run(ctx)
			conn := frame.NewConn(memberConn)
			hasState, reports := false, 0
			for started := time.Now(); time.Since(started) < 750*time.Millisecond; {
				message, err := conn.Receive()
				assert.NilError(t, err)
				if report := message.GetQuotaReport(); report != nil {
					assert.Assert(t, hasState)
					reports++
					grant := &wire.QuotaGrant{Sequence: report.GetSequence(), ValidMs: 2000}
					assert.NilError(t, conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_QuotaGrant{QuotaGrant: grant}}))
					assert.Equal(t, (<-quotas.grants).GetSequence(), report.GetSequence())
				}
				if heartbeat := message.GetHeartbeat(); heartbeat != nil && !hasState {
					hasState = true
					assert.NilError(t, conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: &wire.StateFull{RegistryVersion: 1}}}))
				}
				if !hasRates && hasState {
					time.Sleep(time.Second)
					break
				}
			}
			assert.Equal(t, reports > 0, hasRates)
			assert.Equal(t, quotas.connects, 1)
			cancel()
			_ = memberConn.Close()
			time.Sleep(time.Second)
		})
	}
}

// fakeCollector counts the reports and answers with one share.
type fakeCollector struct{ reports int }

func (c *fakeCollector) Observe(time.Time, *wire.QuotaReport) { c.reports++ }
func (c *fakeCollector) Stopped(string)                       {}
func (c *fakeCollector) Grant(_ time.Time, node string, sequence uint64) *wire.QuotaGrant {
	return &wire.QuotaGrant{Sequence: sequence, Shares: []*wire.QuotaShare{{Organisation: node, AdmitPermille: 500}}}
}

// TestQuotaGrants guards against a member that does not answer a report, sends state with each
// answer, or takes the report of another node.
func TestQuotaGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		collector := &fakeCollector{}
		h.server.SetQuotas(collector)
		h.subscribe(1, "service-1")
		h.receiveAll()
		send := func(sender string, sequence uint64) {
			report := &wire.QuotaReport{Sender: sender, SenderStart: 1, Sequence: sequence}
			assert.NilError(h.t, h.conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_QuotaReport{QuotaReport: report}}))
		}
		send("node", 1)
		answers := h.receiveAll()
		assert.Assert(t, len(answers) == 1 && collector.reports == 1)
		grant := answers[0].GetQuotaGrant()
		assert.Assert(t, grant.GetSequence() == 1 && grant.GetShares()[0].GetOrganisation() == "node")
		send("other", 2)
		assert.ErrorIs(t, <-h.serveResult, frame.ErrUnexpected)
		assert.Equal(t, collector.reports, 1)
	})
}
