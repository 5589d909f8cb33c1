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

// runCtl runs chicoryctl with the API addresses of all members and returns its output.
func (m *controlCluster) runCtl(arguments ...string) string {
	m.t.Helper()
	token := filepath.Join(m.dir, "token")
	assert.NilError(m.t, os.WriteFile(token, []byte(testToken), 0o600))
	options := []string{"--token-file", token}
	for _, s := range m.memberSettings {
		options = append(options, "--api", "http://"+s.APIListen)
	}
	output, err := exec.Command(filepath.Join(m.binDir, "chicoryctl"), append(options, arguments...)...).CombinedOutput()
	assert.NilError(m.t, err, "%s", output)
	return string(output)
}

// phasedLoad sends requests and counts their results by test phase. The embedded value is
// the number of the current phase, which is part of the path of each request.
type phasedLoad struct {
	atomic.Int32
	succeeded, notRun, unexpected [8]atomic.Int32
}

// sendRequests sends requests to the service URL one after another until stop is closed.
func (p *phasedLoad) sendRequests(serviceURL string, caller int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		phase := p.Load()
		status, outcome, _, err := sendRequestWithTimeout("POST", fmt.Sprintf("%s/phase-%d/%d-%d?delay_ms=5", serviceURL, phase, caller, i), "body", "")
		switch {
		case err == nil && status == http.StatusOK:
			p.succeeded[phase].Add(1)
		case err == nil && outcome == httpapi.OutcomeNotRun:
			p.notRun[phase].Add(1)
		default:
			p.unexpected[phase].Add(1)
		}
	}
}

// requestsInPhase counts the requests of a phase in the request log of an upstream.
func (c *cluster) requestsInPhase(instance string, phase int32) int {
	data, err := os.ReadFile(filepath.Join(c.dir, instance+".requests"))
	assert.NilError(c.t, err)
	return strings.Count(string(data), fmt.Sprintf("/phase-%d/", phase))
}

// TestZoneOutAndIn guards against new requests in an availability zone that is out, requests
// that are lost while the zone is taken out or back in, and a zone that gets no requests
// after it is in again.
func TestZoneOutAndIn(t *testing.T) {
	m := newControlCluster(t, 3)
	m.waitVoters(0, 3)
	zones := []string{"seq-a", "seq-b", "seq-c"}
	for i, zone := range zones {
		m.startUpstream("drafts", "drafts-"+zone, m.startNode(zone))
		waitOK(t, "http://"+m.nodeSettings[i].EntryListen+"/svc/drafts/ready")
	}
	load, stop := &phasedLoad{}, make(chan struct{})
	var group sync.WaitGroup
	for caller := range 9 {
		serviceURL := "http://" + m.nodeSettings[caller%len(zones)].EntryListen + "/svc/drafts"
		group.Go(func() { load.sendRequests(serviceURL, caller, stop) })
	}
	runPhase := func(phase int32, instances ...string) {
		t.Helper()
		load.Store(phase)
		for _, instance := range instances {
			eventually(t, func() error {
				if m.requestsInPhase(instance, phase) < 20 {
					return fmt.Errorf("%s has fewer than 20 requests of phase %d", instance, phase)
				}
				return nil
			})
		}
	}
	runPhase(1, "drafts-seq-a", "drafts-seq-b", "drafts-seq-c")
	load.Store(2)
	m.runCtl("zone", "out", "seq-b", "--wait")
	runPhase(3, "drafts-seq-a", "drafts-seq-c")
	load.Store(4)
	m.runCtl("zone", "in", "seq-b", "--wait")
	runPhase(5, "drafts-seq-a", "drafts-seq-b", "drafts-seq-c")
	close(stop)
	group.Wait()

	assert.Equal(t, m.requestsInPhase("drafts-seq-b", 3), 0, "requests reached the zone after it was out")
	for phase := 1; phase <= 5; phase++ {
		t.Logf("phase %d: %d requests with status 200, %d not run", phase, load.succeeded[phase].Load(), load.notRun[phase].Load())
		assert.Check(t, load.unexpected[phase].Load() == 0, "some requests of phase %d got neither status 200 nor the outcome not run", phase)
	}
	assert.Assert(t, load.succeeded[3].Load() > 0)
}
