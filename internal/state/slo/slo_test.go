package slo

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// init fixes the random seed so that every run gives the same result; -rapid.seed on
// the command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var (
	testStart                      = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	_         replica.StateMachine = (*Machine)(nil)
	_         Proposer             = replica.Proposer(nil)
)

// unreliableProposer applies commands to a machine. fail selects whether it drops the
// command, or applies the command and drops the reply.
type unreliableProposer struct {
	machine *Machine
	fail    func() (commandLost, replyLost bool)
}

func (p *unreliableProposer) Propose(_ context.Context, command []byte) ([]byte, uint64, error) {
	commandLost, replyLost := p.fail()
	if commandLost {
		return nil, 0, errors.New("no leader")
	}
	result := p.machine.Apply(1, command)
	if replyLost {
		return nil, 0, errors.New("outcome unknown")
	}
	return result, 1, nil
}

// TestReportsCountOnce guards against counts that are lost or counted twice when reports
// are repeated, delayed or received by several members, when checkpoints fail before or
// after they were applied, and when a member restarts from a snapshot.
func TestReportsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := NewMachine()
		proposer := &unreliableProposer{machine: machine, fail: func() (bool, bool) {
			return rapid.IntRange(0, 3).Draw(t, "lost") == 0, rapid.IntRange(0, 3).Draw(t, "reply lost") == 0
		}}
		collectors := []*Collector{NewCollector(), NewCollector(), NewCollector()}
		now, want := testStart, map[string]ResponseCounts{}
		reportedTotals := map[nodeIncarnation]map[string]ResponseCounts{}
		var reports []*wire.NodeCounts
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			collector := collectors[rapid.IntRange(0, 2).Draw(t, "member")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				incarnation := nodeIncarnation{fmt.Sprint("node-", rapid.IntRange(0, 2).Draw(t, "node")), rapid.Uint64Range(1, 2).Draw(t, "start")}
				service := rapid.SampledFrom([]string{"fleet", "bookings"}).Draw(t, "service")
				increase := ResponseCounts{rapid.Uint64Range(0, 9).Draw(t, "good"), rapid.Uint64Range(0, 9).Draw(t, "bad")}
				if reportedTotals[incarnation] == nil {
					reportedTotals[incarnation] = map[string]ResponseCounts{}
				}
				reportedTotals[incarnation][service] = reportedTotals[incarnation][service].plus(increase)
				want[service] = want[service].plus(increase)
				reports = append(reports, &wire.NodeCounts{NodeId: incarnation.id, NodeStart: incarnation.start, Counts: encodeCounts(reportedTotals[incarnation])})
			case 2:
				if len(reports) > 0 {
					r := reports[rapid.IntRange(0, len(reports)-1).Draw(t, "report")]
					collector.Observe(now, r.GetNodeId(), r.GetNodeStart(), r.GetCounts())
				}
			case 3:
				_ = collector.Checkpoint(context.Background(), now, proposer)
			case 4:
				snapshot, err := machine.Snapshot()
				assert.NilError(t, err)
				machine = NewMachine()
				assert.NilError(t, machine.Restore(snapshot))
				proposer.machine = machine
				restoredSnapshot, err := machine.Snapshot()
				assert.NilError(t, err)
				assert.DeepEqual(t, snapshot, restoredSnapshot)
			}
		}
		proposer.fail = func() (bool, bool) { return false, false }
		for _, r := range reports {
			collectors[0].Observe(now, r.GetNodeId(), r.GetNodeStart(), r.GetCounts())
		}
		for _, collector := range collectors {
			assert.NilError(t, collector.Checkpoint(context.Background(), now, proposer))
		}
		for service, total := range want {
			assert.Equal(t, machine.WindowCounts(service, now, 6*time.Hour), total)
			assert.Equal(t, machine.WindowCounts(service, now, 72*time.Hour), total)
		}
	})
}

// applyTraffic applies a checkpoint with 1,000 responses per minute, of which
// badPerThousand are bad, and returns the end of the period.
func applyTraffic(m *Machine, nodeID string, from time.Time, duration time.Duration, badPerThousand uint64) time.Time {
	total := ResponseCounts{}
	for at := from; at.Before(from.Add(duration)); at = at.Add(time.Minute) {
		total = total.plus(ResponseCounts{Good: 1000 - badPerThousand, Bad: badPerThousand})
		command, _ := proto.Marshal(&wire.BurnCheckpoint{UnixMs: at.UnixMilli(), Nodes: []*wire.NodeCounts{{
			NodeId: nodeID, NodeStart: 1, Counts: encodeCounts(map[string]ResponseCounts{"bookings": total}),
		}}})
		m.Apply(1, command)
	}
	return from.Add(duration)
}

// TestAlerts guards against alerts that are not raised, are raised too early, or remain
// after the bad responses have ended. The objective is 99.9 %, so 1 bad response in
// 1,000 is burn rate 1.
func TestAlerts(t *testing.T) {
	objectives := map[string]document.Objective{"bookings": {GoodWithinMs: 100, Share: 0.999, WindowHours: 720}}
	cases := []struct {
		name               string
		badPerThousand     uint64
		burnDuration       time.Duration
		recoveryDuration   time.Duration
		alert              string
		fiveMinuteBurnRate string
	}{
		{"within the objective", 0, 2 * time.Hour, 0, "", "0.0"},
		{"short spike", 20, 4 * time.Minute, 0, "", "16.0"},
		{"fast", 15, time.Hour, 0, AlertFast, "15.0"},
		{"fast, then recovered", 15, time.Hour, 10 * time.Minute, "", "0.0"},
		{"slow", 7, 6 * time.Hour, 0, AlertSlow, "7.0"},
		{"ticket", 2, 60 * time.Hour, 0, AlertTicket, "2.0"},
		{"ticket, then recovered", 2, 60 * time.Hour, 7 * time.Hour, "", "0.0"},
	}
	for _, tc := range cases {
		m := NewMachine()
		now := applyTraffic(m, "before", testStart, 72*time.Hour, 0)
		now = applyTraffic(m, "burn", now, tc.burnDuration, tc.badPerThousand)
		now = applyTraffic(m, "after", now, tc.recoveryDuration, 0)
		report := NewReport(m, objectives, now.Add(-time.Minute))
		assert.Equal(t, len(report.Services), 1)
		s := report.Services[0]
		assert.Equal(t, s.Alert, tc.alert, "%s: %+v", tc.name, s)
		assert.Equal(t, fmt.Sprintf("%.1f", s.Windows[0].BurnRate), tc.fiveMinuteBurnRate, tc.name)
		totalMinutes := float64((72*time.Hour + tc.burnDuration + tc.recoveryDuration).Minutes())
		spentBudget := tc.burnDuration.Minutes() * float64(tc.badPerThousand) / totalMinutes
		assert.Equal(t, fmt.Sprintf("%.6f", s.BudgetLeft), fmt.Sprintf("%.6f", 1-spentBudget), tc.name)
	}
}

// TestRetention guards against memory that grows with time, and against buckets that
// are counted again after the end of their window.
func TestRetention(t *testing.T) {
	m := NewMachine()
	now := applyTraffic(m, "node", testStart, 10*time.Minute, 500)
	later := now.Add(31 * 24 * time.Hour)
	applyTraffic(m, "other", later, time.Minute, 0)
	assert.Equal(t, m.WindowCounts("bookings", later, 720*time.Hour), ResponseCounts{Good: 1000})
	assert.Equal(t, len(m.nodes), 1)
	assert.Equal(t, len(m.series["bookings"].minutes.buckets), minuteBuckets)
}

// TestHandler guards against a change of the JSON fields that scripts read, and against
// a page that loads other files or contains unescaped service names.
func TestHandler(t *testing.T) {
	m := NewMachine()
	now := applyTraffic(m, "node", testStart, time.Hour, 15)
	objectives := func() map[string]document.Objective {
		return map[string]document.Objective{
			"bookings": {Share: 0.999, WindowHours: 720}, "<b>": {Share: 0.9, WindowHours: 1}, "none": {},
		}
	}
	handler := NewHandler(m, objectives, func() time.Time { return now.Add(-time.Minute) })
	get := func(path string) string {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		assert.Equal(t, recorder.Code, http.StatusOK)
		return recorder.Body.String()
	}
	var body struct {
		Services []map[string]any `json:"services"`
	}
	assert.NilError(t, json.Unmarshal([]byte(get("/v1/burn")), &body))
	assert.Equal(t, len(body.Services), 2)
	bookings := body.Services[1]
	for _, key := range []string{"service", "objective", "share", "budget_left", "windows", "alert"} {
		assert.Assert(t, bookings[key] != nil, key)
	}
	assert.Equal(t, bookings["alert"], AlertFast)
	page := get("/v1/burn.html")
	assert.Equal(t, strings.Count(page, "<polyline"), 4)
	assert.Assert(t, !strings.Contains(page, "<b>") && !strings.Contains(page, "http"))
}
