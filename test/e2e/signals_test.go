package e2e

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRateLimitOfUpstreamInNeed guards against an upstream process that gets more requests than
// the rate it states allows, summed over two nodes, one of them beside the upstream, and
// against refusals that do not say that the request was not run.
func TestRateLimitOfUpstreamInNeed(t *testing.T) {
	const perSecond, seconds = 4, 3
	c := newCluster(t)
	c.startControl()
	node, entry := c.startNode("seq-a"), c.startNode("seq-b")
	log := filepath.Join(c.dir, "drafts-1.requests")
	c.startProcess("drafts-1", exec.Command(filepath.Join(c.binDir, "chicorylever-upstream"), "--service", "drafts", "--instance", "drafts-1",
		"--node", node.LocalListen, "--log", log, "--rate-limit", "4"))
	waitOK(t, entryURL(entry, "/told"))

	var group sync.WaitGroup
	for i := range 60 {
		for _, n := range []string{entryURL(node, "/limited"), entryURL(entry, "/limited")} {
			group.Go(func() {
				time.Sleep(time.Duration(i) * seconds * time.Second / 60)
				status, outcome, _, err := sendRequestWithTimeout("POST", n, "", "300")
				assert.Check(t, err)
				assert.Check(t, status == http.StatusOK || outcome == "not-run", "status %d, outcome %q", status, outcome)
			})
		}
	}
	group.Wait()
	reached := c.runsByPath()["/limited"]
	assert.Assert(t, reached <= 1.5*perSecond*seconds+5, "%d requests in %d s", reached, seconds)
	assert.Assert(t, reached >= perSecond*(seconds-1), "%d requests in %d s", reached, seconds)
}
