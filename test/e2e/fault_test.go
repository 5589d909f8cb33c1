package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

// startService starts a control member and nodes, all but the first with an upstream. It
// returns the URL of the service at the first node once all instances respond.
func startService(t *testing.T, instances int) (c *cluster, serviceURL string) {
	c = newCluster(t)
	c.startControl()
	serviceURL = "http://" + c.startNode("seq-a").EntryListen + "/svc/drafts"
	for i := range instances {
		node := c.startNode([]string{"seq-a", "seq-b", "seq-c"}[i%3])
		c.startUpstream("drafts", fmt.Sprintf("drafts-%d", i), node)
		waitOK(t, "http://"+node.EntryListen+"/svc/drafts/ready")
	}
	waitOK(t, serviceURL+"/ready")
	return c, serviceURL
}

// statusError returns err, or an error for a status other than 200.
func statusError(status int, err error) error {
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("got status %d instead of 200", status)
	}
	return err
}

// TestNodeAndUpstreamFaults guards against a request that runs twice, a request that ran
// although it was reported as "not run", and a successful response to a request that did
// not run, while nodes and upstreams are killed, paused and resumed during load.
func TestNodeAndUpstreamFaults(t *testing.T) {
	c, serviceURL := startService(t, 5)
	const callers, requestsPerCaller = 12, 60
	type requestResult struct {
		status  int
		outcome string
		err     error
	}
	results := make([][requestsPerCaller]requestResult, callers)
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := range requestsPerCaller {
				path := fmt.Sprintf("/once/%d-%d", caller, i)
				r := &results[caller][i]
				method := "POST"
				if isRepeatable(i) {
					method = "GET"
				}
				r.status, r.outcome, _, r.err = sendRequestWithTimeout(method, serviceURL+path+"?delay_ms=20", "body", "")
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	c.signal("node-2", syscall.SIGKILL)
	c.signal("node-3", syscall.SIGSTOP)
	time.Sleep(200 * time.Millisecond)
	c.signal("drafts-2", syscall.SIGKILL)
	c.signal("drafts-3", syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	c.signal("node-3", syscall.SIGCONT)
	c.signal("drafts-3", syscall.SIGCONT)
	group.Wait()
	waitOK(t, serviceURL+"/after")

	runs := c.runsByPath()
	outcomeCounts := map[string]int{}
	for caller := range callers {
		for i, r := range results[caller] {
			path := fmt.Sprintf("/once/%d-%d", caller, i)
			assert.Check(t, r.err, path)
			outcomeCounts[fmt.Sprint(r.status, r.outcome)]++
			switch {
			case r.status == http.StatusOK && isRepeatable(i):
				assert.Check(t, runs[path] >= 1, "%s got status 200 but did not run", path)
			case r.status == http.StatusOK:
				assert.Check(t, runs[path] == 1, "%s got status 200 and ran %d times", path, runs[path])
			case r.outcome == httpapi.OutcomeNotRun:
				assert.Check(t, runs[path] == 0, "%s was reported as not run but ran %d times", path, runs[path])
			default:
				assert.Check(t, r.outcome == httpapi.OutcomeUnknown && (runs[path] <= 1 || isRepeatable(i)), "%s got %+v and ran %d times", path, r, runs[path])
			}
		}
	}
	t.Log(outcomeCounts)
}

// isRepeatable reports whether a caller's request is sent as a GET, which may run more
// than once: every third request is.
func isRepeatable(requestIndex int) bool { return requestIndex%3 == 0 }

// TestGracefulShutdown guards against requests that are interrupted when a node shuts down
// on SIGTERM.
func TestGracefulShutdown(t *testing.T) {
	c, serviceURL := startService(t, 3)
	var group sync.WaitGroup
	for caller := range 6 {
		group.Go(func() {
			for i := range 60 {
				path := fmt.Sprintf("/stop/%d-%d", caller, i)
				status, outcome, _, err := sendRequestWithTimeout("POST", serviceURL+path+"?delay_ms=20", "body", "")
				assert.Check(t, err)
				assert.Check(t, status == http.StatusOK || outcome == httpapi.OutcomeNotRun, "%s got status %d and outcome %s", path, status, outcome)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, c.stop("node-2"), 0)
	group.Wait()
}

// TestPausedNode guards against requests that a node dispatches after their deadline, when
// it resumes from a pause. The entry node is paused as well, so that its cancellations do
// not arrive before the paused node has read the attempts.
func TestPausedNode(t *testing.T) {
	c, serviceURL := startService(t, 1)
	c.signal("node-2", syscall.SIGSTOP)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			_, outcome, _, err := sendRequestWithTimeout("POST", fmt.Sprintf("%s/frozen/%d", serviceURL, i), "", "700")
			assert.Check(t, err)
			assert.Check(t, outcome == httpapi.OutcomeUnknown || outcome == httpapi.OutcomeNotRun, outcome)
		})
	}
	time.Sleep(300 * time.Millisecond)
	c.signal("node-1", syscall.SIGSTOP)
	time.Sleep(time.Second)
	c.signal("node-2", syscall.SIGCONT)
	time.Sleep(500 * time.Millisecond)
	c.signal("node-1", syscall.SIGCONT)
	group.Wait()
	waitOK(t, serviceURL+"/after")
	runs := c.runsByPath()
	for i := range 8 {
		assert.Equal(t, runs[fmt.Sprintf("/frozen/%d", i)], 0, "request %d ran after its deadline", i)
	}
}
