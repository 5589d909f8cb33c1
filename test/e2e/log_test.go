package e2e

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// droppedLogLines matches the metric of dropped log lines.
var droppedLogLines = regexp.MustCompile(`(?m)^chicorylever_log_lines_dropped_total (\S+)$`)

// TestBlockedOutputDelaysNoRequest guards against requests that wait for the log when nobody
// reads the standard output of a node, and against dropped lines that are not counted.
func TestBlockedOutputDelaysNoRequest(t *testing.T) {
	const (
		callers           = 8
		requestsPerCaller = 600
		// maxRequestTime is far above the time of a request beside load, and below the
		// timeout of the service.
		maxRequestTime = 3 * time.Second
	)
	c := newCluster(t)
	c.startControl()
	node := c.configureNode("seq-a")
	node.LogLevel = "debug" // two lines for each request
	c.writeSettings(node.ID, node)
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = reader.Close(), writer.Close() })
	command := exec.Command(filepath.Join(c.binDir, "chicorylever-node"), "--settings", c.settingsPath(node.ID))
	command.Stdout = writer // never read, so that it blocks after 64 KiB
	assert.NilError(t, command.Start())
	c.processes[node.ID] = command
	c.startUpstream("drafts", "drafts-1", node)
	waitOK(t, entryURL(node, "/"))

	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := range requestsPerCaller {
				start := time.Now()
				status, body, err := sendRequest("GET", entryURL(node, fmt.Sprintf("/%d/%d", caller, i)), "")
				assert.Check(t, err)
				// A cold upstream refuses requests beyond its limit.
				assert.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable, body)
				assert.Check(t, time.Since(start) < maxRequestTime, "a request took %s", time.Since(start))
			}
		})
	}
	group.Wait()
	waitOK(t, entryURL(node, "/"))
	_, text, err := sendRequest("GET", "http://"+node.AdminListen+"/metrics", "")
	assert.NilError(t, err)
	match := droppedLogLines.FindStringSubmatch(text)
	assert.Assert(t, match != nil, "the metric is missing")
	dropped, err := strconv.ParseFloat(match[1], 64)
	assert.NilError(t, err)
	assert.Assert(t, dropped > 0, "no line was dropped, so the output did not block")
}
