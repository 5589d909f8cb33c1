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

// startService starts control and nodes; all but the first have an upstream. It
// returns the entry's address once all instances answer.
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

func statusError(status int, err error) error {
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

// TestFaults guards against a request that runs twice, a request that was answered
// with "not run" but ran, and an answer without a run, while nodes and upstreams are
// killed, frozen and resumed at the same time.
func TestFaults(t *testing.T) {
	c, serviceURL := startService(t, 5)
	const callers, callsPerCaller = 12, 60
	type callResult struct {
		status  int
		outcome string
		err     error
	}
	results := make([][callsPerCaller]callResult, callers)
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := range callsPerCaller {
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
				assert.Check(t, runs[path] >= 1, "%s was answered without a run", path)
			case r.status == http.StatusOK:
				assert.Check(t, runs[path] == 1, "%s was answered and ran %d times", path, runs[path])
			case r.outcome == httpapi.OutcomeNotRun:
				assert.Check(t, runs[path] == 0, "%s was refused and ran %d times", path, runs[path])
			default:
				assert.Check(t, r.outcome == httpapi.OutcomeUnknown && (runs[path] <= 1 || isRepeatable(i)), "%s: %+v ran %d times", path, r, runs[path])
			}
		}
	}
	t.Log(outcomeCounts)
}

// isRepeatable makes each third call of a caller a GET.
func isRepeatable(callIndex int) bool { return callIndex%3 == 0 }

// TestPlannedStop guards against requests that a planned stop of a node interrupts.
func TestPlannedStop(t *testing.T) {
	c, serviceURL := startService(t, 3)
	var group sync.WaitGroup
	for caller := range 6 {
		group.Go(func() {
			for i := range 60 {
				path := fmt.Sprintf("/stop/%d-%d", caller, i)
				status, outcome, _, err := sendRequestWithTimeout("POST", serviceURL+path+"?delay_ms=20", "body", "")
				assert.Check(t, err)
				assert.Check(t, status == http.StatusOK || outcome == httpapi.OutcomeNotRun, "%s: %d %s", path, status, outcome)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, c.stop("node-2"), 0)
	group.Wait()
}

// TestFrozenNode guards against work that a node dispatches after it was frozen past
// the deadline. The entry is frozen as well, so that its cancellation of the attempts
// does not arrive before the node has read them.
func TestFrozenNode(t *testing.T) {
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
