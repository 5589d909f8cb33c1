package e2e

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

// ctl runs chicoryctl against all members.
func (m *members) ctl(arguments ...string) string {
	m.t.Helper()
	token := filepath.Join(m.dir, "token")
	assert.NilError(m.t, os.WriteFile(token, []byte(testToken), 0o600))
	options := []string{"--token-file", token}
	for _, s := range m.settings {
		options = append(options, "--api", "http://"+s.APIListen)
	}
	output, err := exec.Command(filepath.Join(m.bin, "chicoryctl"), append(options, arguments...)...).CombinedOutput()
	assert.NilError(m.t, err, "%s", output)
	return string(output)
}

// phase is a part of a test with load; paths of requests name it.
type phase struct {
	atomic.Int32
	answered, notRun, other [8]atomic.Int32
}

// load sends requests through the entry until stop is closed.
func (p *phase) load(entry string, caller int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		now := p.Load()
		status, outcome, _, err := callHeader("POST", fmt.Sprintf("%s/phase-%d/%d-%d?delay_ms=5", entry, now, caller, i), "body", "")
		switch {
		case err == nil && status == http.StatusOK:
			p.answered[now].Add(1)
		case err == nil && outcome == httpapi.OutcomeNotRun:
			p.notRun[now].Add(1)
		default:
			p.other[now].Add(1)
		}
	}
}

// logged counts the requests of a phase at one upstream.
func (c *cluster) logged(instance string, number int32) int {
	data, err := os.ReadFile(filepath.Join(c.dir, instance+".requests"))
	assert.NilError(c.t, err)
	return strings.Count(string(data), fmt.Sprintf("/phase-%d/", number))
}

// TestZoneLeavesAndReturns guards against new work in an availability zone that is
// out, requests that are lost while it leaves or returns, and a zone that gets no
// work after its return.
func TestZoneLeavesAndReturns(t *testing.T) {
	m := newMembers(t, 3)
	m.waitVoters(0, 3)
	zones := []string{"seq-a", "seq-b", "seq-c"}
	for i, zone := range zones {
		m.startUpstream("drafts", "drafts-"+zone, m.startNode(zone))
		waitAnswered(t, "http://"+m.nodes[i].EntryListen+"/svc/drafts/ready")
	}
	p, stop := &phase{}, make(chan struct{})
	var group sync.WaitGroup
	for caller := range 9 {
		entry := "http://" + m.nodes[caller%len(zones)].EntryListen + "/svc/drafts"
		group.Go(func() { p.load(entry, caller, stop) })
	}
	waitFor := func(number int32, instances ...string) {
		t.Helper()
		p.Store(number)
		for _, instance := range instances {
			eventually(t, func() error {
				if m.logged(instance, number) < 20 {
					return fmt.Errorf("%s has too few requests of phase %d", instance, number)
				}
				return nil
			})
		}
	}
	waitFor(1, "drafts-seq-a", "drafts-seq-b", "drafts-seq-c")
	p.Store(2)
	m.ctl("zone", "out", "seq-b", "--wait")
	waitFor(3, "drafts-seq-a", "drafts-seq-c")
	p.Store(4)
	m.ctl("zone", "in", "seq-b", "--wait")
	waitFor(5, "drafts-seq-a", "drafts-seq-b", "drafts-seq-c")
	close(stop)
	group.Wait()

	assert.Equal(t, m.logged("drafts-seq-b", 3), 0, "new work in the zone after the change was in force")
	for number := 1; number <= 5; number++ {
		t.Logf("phase %d: %d answered, %d not run", number, p.answered[number].Load(), p.notRun[number].Load())
		assert.Check(t, p.other[number].Load() == 0, "requests without a clear outcome in phase %d", number)
	}
	assert.Assert(t, p.answered[3].Load() > 0)
}
