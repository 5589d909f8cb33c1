// Package e2e tests the programs end to end, as separate processes.
package e2e

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRequestPath guards against requests that fail although an upstream has announced
// itself, through any node and over mutual TLS, and against responses that reach the wrong
// caller.
func TestRequestPath(t *testing.T) {
	c := newCluster(t)
	c.useTLS()
	c.startControl()
	for i, zone := range []string{"seq-a", "seq-b", "seq-c"} {
		node := c.startNode(zone)
		service := "drafts"
		if i == 2 {
			service = "approvals"
		}
		c.startUpstream(service, fmt.Sprintf("%s-%d", service, i), node)
	}
	for _, node := range c.nodeSettings {
		for _, service := range []string{"drafts", "approvals"} {
			waitOK(t, "http://"+node.EntryListen+"/svc/"+service+"/ping")
		}
	}
	var group sync.WaitGroup
	for i := range 60 {
		group.Go(func() {
			node := c.nodeSettings[i%len(c.nodeSettings)]
			status, body, err := sendRequest("POST", fmt.Sprintf("http://%s/svc/approvals/a/%d?delay_ms=%d", node.EntryListen, i, i%7), fmt.Sprint("body ", i))
			if assert.Check(t, err) && status != 503 {
				assert.Check(t, status == 200, body)
				assert.Check(t, body == fmt.Sprintf("POST /a/%d body %d", i, i), body)
			}
		})
	}
	group.Wait()
	for _, name := range []string{"node-1", "node-2", "node-3", "control-1"} {
		assert.Equal(t, c.stop(name), 0, "%s after SIGTERM", name)
	}
}
