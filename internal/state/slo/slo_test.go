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

// init fixes the seed for equal verdicts; -rapid.seed on the command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var (
	start                      = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	_     replica.StateMachine = (*Machine)(nil)
	_     Proposer             = replica.Proposer(nil)
)

// fakeLog applies commands to a machine; fail makes it lose the reply or the command.
type fakeLog struct {
	machine *Machine
	fail    func() (lost, replyLost bool)
}

func (l *fakeLog) Propose(_ context.Context, command []byte) ([]byte, uint64, error) {
	lost, replyLost := l.fail()
	if lost {
		return nil, 0, errors.New("no leader")
	}
	result := l.machine.Apply(1, command)
	if replyLost {
		return nil, 0, errors.New("outcome unknown")
	}
	return result, 1, nil
}

// TestTotals guards against counts that are lost or counted twice when reports
// are repeated or delayed, arrive through several members, checkpoints fail with
// and without effect, and a member restarts from a snapshot.
func TestTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := NewMachine()
		commands := &fakeLog{machine: machine, fail: func() (bool, bool) {
			return rapid.IntRange(0, 3).Draw(t, "lost") == 0, rapid.IntRange(0, 3).Draw(t, "reply lost") == 0
		}}
		members := []*Collector{NewCollector(), NewCollector(), NewCollector()}
		now, want := start, map[string]Totals{}
		current := map[nodeKey]map[string]Totals{}
		var reports []*wire.NodeCounts
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			member := members[rapid.IntRange(0, 2).Draw(t, "member")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				key := nodeKey{fmt.Sprint("node-", rapid.IntRange(0, 2).Draw(t, "node")), rapid.Uint64Range(1, 2).Draw(t, "start")}
				service := rapid.SampledFrom([]string{"fleet", "bookings"}).Draw(t, "service")
				more := Totals{rapid.Uint64Range(0, 9).Draw(t, "good"), rapid.Uint64Range(0, 9).Draw(t, "bad")}
				if current[key] == nil {
					current[key] = map[string]Totals{}
				}
				current[key][service] = current[key][service].plus(more)
				want[service] = want[service].plus(more)
				reports = append(reports, &wire.NodeCounts{NodeId: key.id, NodeStart: key.start, Counts: encodeCounts(current[key])})
			case 2:
				if len(reports) > 0 {
					r := reports[rapid.IntRange(0, len(reports)-1).Draw(t, "report")]
					member.Observe(now, r.GetNodeId(), r.GetNodeStart(), r.GetCounts())
				}
			case 3:
				_ = member.Checkpoint(context.Background(), now, commands)
			case 4:
				snapshot, err := machine.Snapshot()
				assert.NilError(t, err)
				machine = NewMachine()
				assert.NilError(t, machine.Restore(snapshot))
				commands.machine = machine
				again, err := machine.Snapshot()
				assert.NilError(t, err)
				assert.DeepEqual(t, snapshot, again)
			}
		}
		commands.fail = func() (bool, bool) { return false, false }
		for _, r := range reports {
			members[0].Observe(now, r.GetNodeId(), r.GetNodeStart(), r.GetCounts())
		}
		for _, member := range members {
			assert.NilError(t, member.Checkpoint(context.Background(), now, commands))
		}
		for service, total := range want {
			assert.Equal(t, machine.Window(service, now, 6*time.Hour), total)
			assert.Equal(t, machine.Window(service, now, 72*time.Hour), total)
		}
	})
}

// traffic applies a checkpoint each minute with a share of bad responses.
func traffic(m *Machine, node string, from time.Time, d time.Duration, badPerThousand uint64) time.Time {
	total := Totals{}
	for at := from; at.Before(from.Add(d)); at = at.Add(time.Minute) {
		total = total.plus(Totals{Good: 1000 - badPerThousand, Bad: badPerThousand})
		command, _ := proto.Marshal(&wire.BurnCheckpoint{UnixMs: at.UnixMilli(), Nodes: []*wire.NodeCounts{{
			NodeId: node, NodeStart: 1, Counts: encodeCounts(map[string]Totals{"bookings": total}),
		}}})
		m.Apply(1, command)
	}
	return from.Add(d)
}

// TestAlerts guards against alerts that are missing, come too early or stay after
// the cause is gone. The objective is 99.9 %, so 1 bad response in 1,000 is rate 1.
func TestAlerts(t *testing.T) {
	objectives := map[string]document.Objective{"bookings": {GoodWithinMs: 100, Share: 0.999, WindowHours: 720}}
	cases := []struct {
		name     string
		bad      uint64
		length   time.Duration
		after    time.Duration
		alert    string
		fastRate string
	}{
		{"within the objective", 0, 2 * time.Hour, 0, "", "0.0"},
		{"short spike", 20, 4 * time.Minute, 0, "", "16.0"},
		{"fast", 15, time.Hour, 0, AlertFast, "15.0"},
		{"fast, then over", 15, time.Hour, 10 * time.Minute, "", "0.0"},
		{"slow", 7, 6 * time.Hour, 0, AlertSlow, "7.0"},
		{"ticket", 2, 60 * time.Hour, 0, AlertTicket, "2.0"},
		{"old burn", 2, 60 * time.Hour, 7 * time.Hour, "", "0.0"},
	}
	for _, tc := range cases {
		m := NewMachine()
		now := traffic(m, "before", start, 72*time.Hour, 0)
		now = traffic(m, "burn", now, tc.length, tc.bad)
		now = traffic(m, "after", now, tc.after, 0)
		report := NewReport(m, objectives, now.Add(-time.Minute))
		assert.Equal(t, len(report.Services), 1)
		s := report.Services[0]
		assert.Equal(t, s.Alert, tc.alert, "%s: %+v", tc.name, s)
		assert.Equal(t, fmt.Sprintf("%.1f", s.Windows[0].BurnRate), tc.fastRate, tc.name)
		all := float64((72*time.Hour + tc.length + tc.after).Minutes())
		burnt := tc.length.Minutes() * float64(tc.bad) / all
		assert.Equal(t, fmt.Sprintf("%.6f", s.BudgetLeft), fmt.Sprintf("%.6f", 1-burnt), tc.name)
	}
}

// TestRetention guards against memory that grows with time and against buckets
// that come back after their window.
func TestRetention(t *testing.T) {
	m := NewMachine()
	now := traffic(m, "node", start, 10*time.Minute, 500)
	later := now.Add(31 * 24 * time.Hour)
	traffic(m, "other", later, time.Minute, 0)
	assert.Equal(t, m.Window("bookings", later, 720*time.Hour), Totals{Good: 1000})
	assert.Equal(t, len(m.nodes), 1)
	assert.Equal(t, len(m.series["bookings"].minutes.buckets), minuteBuckets)
}

// TestHandler guards against a change of the JSON shape that scripts read, and
// against a page that needs other files or passes names on unescaped.
func TestHandler(t *testing.T) {
	m := NewMachine()
	now := traffic(m, "node", start, time.Hour, 15)
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
