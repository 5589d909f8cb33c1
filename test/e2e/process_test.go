package e2e

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/settings"
)

const testDocument = `{
  "teams": {"platform": {"token_sha256": [], "admin": true}},
  "zones": {
    "seq-a": {"owner": "platform", "state": "in"},
    "seq-b": {"owner": "platform", "state": "in"},
    "seq-c": {"owner": "platform", "state": "in"}
  },
  "services": {
    "drafts": {"owner": "platform", "hosts": ["drafts.example"], "timeout_ms": 5000},
    "approvals": {"owner": "platform", "timeout_ms": 5000}
  },
  "limits": {}
}`

// cluster starts and stops the processes of a test: control members, nodes and upstreams.
type cluster struct {
	t      testing.TB
	binDir string
	// dir holds the settings files, data directories, logs and certificates.
	dir string
	// controlSettings are those of the control member that nodes connect to.
	controlSettings *settings.Control
	nodeSettings    []*settings.Node
	mu              sync.Mutex
	// processes are those not yet stopped with stop or killMember, by member ID, node ID
	// or upstream instance.
	processes map[string]*exec.Cmd
	// authority is the certificate authority that signs the certificates of the
	// processes; nil without TLS.
	authority *tls.Certificate
}

// newCluster builds the programs; they run until the test ends.
func newCluster(t testing.TB) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), processes: map[string]*exec.Cmd{}}
	c.binDir = filepath.Join(c.dir, "bin")
	assert.NilError(t, os.MkdirAll(c.binDir, 0o750))
	build := exec.Command("go", "build", "-o", c.binDir, "../../cmd/...")
	build.Stderr = os.Stderr
	assert.NilError(t, build.Run())
	t.Cleanup(c.killAll)
	return c
}

func (c *cluster) startControl() {
	documentPath := filepath.Join(c.dir, "document.json")
	assert.NilError(c.t, os.WriteFile(documentPath, []byte(testDocument), 0o600))
	meshAddress := freeAddress(c.t)
	c.controlSettings = &settings.Control{
		ID: "control-1", Zone: "seq-a", DataDir: filepath.Join(c.dir, "data-1"),
		MeshListen: meshAddress, APIListen: freeAddress(c.t),
		Bootstrap: []string{meshAddress}, BootstrapDocument: documentPath,
	}
	c.controlSettings.TLSCert, c.controlSettings.TLSKey, c.controlSettings.TLSCA = c.issueCertificate(c.controlSettings.ID)
	c.startWithSettings("chicorylever-control", "control-1", c.controlSettings)
}

// startNode starts the next of the nodes node-1, node-2 and so on.
func (c *cluster) startNode(zone string) *settings.Node {
	node := c.configureNode(zone)
	c.startWithSettings("chicorylever-node", node.ID, node)
	return node
}

// configureNode returns the settings of the next node without starting it.
func (c *cluster) configureNode(zone string) *settings.Node {
	id := fmt.Sprintf("node-%d", len(c.nodeSettings)+1)
	node := &settings.Node{
		ID: id, Zone: zone,
		EntryListen: freeAddress(c.t), LocalListen: freeAddress(c.t), MeshListen: freeAddress(c.t), AdminListen: freeAddress(c.t),
		Control: []string{c.controlSettings.MeshListen},
	}
	node.TLSCert, node.TLSKey, node.TLSCA = c.issueCertificate(id)
	c.nodeSettings = append(c.nodeSettings, node)
	return node
}

// startWithSettings writes the settings file of a process and starts the program with it.
func (c *cluster) startWithSettings(program, name string, config any) {
	c.writeSettings(name, config)
	c.startProcess(name, exec.Command(filepath.Join(c.binDir, program), "--settings", c.settingsPath(name)))
}

func (c *cluster) writeSettings(name string, config any) {
	data, err := json.Marshal(config)
	assert.NilError(c.t, err)
	assert.NilError(c.t, os.WriteFile(c.settingsPath(name), data, 0o600))
}

func (c *cluster) settingsPath(name string) string { return filepath.Join(c.dir, name+".json") }

// startUpstream starts an upstream that announces itself to the node and appends the
// path of each request to its request log.
func (c *cluster) startUpstream(service, instance string, node *settings.Node) {
	c.startProcess(instance, exec.Command(filepath.Join(c.binDir, "chicorylever-upstream"), "--service", service, "--instance", instance,
		"--node", node.LocalListen, "--log", filepath.Join(c.dir, instance+".requests")))
}

// startProcess starts the command. If the test fails, the output of the process is logged.
func (c *cluster) startProcess(name string, command *exec.Cmd) {
	logFile, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() {
		_ = logFile.Close()
		if c.t.Failed() {
			data, _ := os.ReadFile(logFile.Name())
			c.t.Logf("%s:\n%s", name, data)
		}
	})
	command.Stdout, command.Stderr = logFile, logFile
	assert.NilError(c.t, command.Start())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = command
}

// process returns the most recent process with the name.
func (c *cluster) process(name string) *exec.Cmd {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// stop sends SIGTERM, waits until the process exits and returns its exit code.
func (c *cluster) stop(name string) int {
	command := c.processes[name]
	delete(c.processes, name)
	assert.NilError(c.t, command.Process.Signal(syscall.SIGTERM))
	_ = command.Wait()
	return command.ProcessState.ExitCode()
}

// signal sends a signal to a process. After SIGSTOP it waits until the process is paused.
func (c *cluster) signal(name string, signal syscall.Signal) {
	process := c.processes[name].Process
	assert.NilError(c.t, process.Signal(signal))
	if signal != syscall.SIGSTOP {
		return
	}
	eventually(c.t, func() error {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.Pid))
		if err == nil && !strings.Contains(string(stat), ") T ") {
			err = fmt.Errorf("%s is not paused after SIGSTOP", name)
		}
		return err
	})
}

// runsByPath counts how often the upstreams started with startUpstream ran each path.
func (c *cluster) runsByPath() map[string]int {
	files, err := filepath.Glob(filepath.Join(c.dir, "*.requests"))
	assert.NilError(c.t, err)
	runs := map[string]int{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(c.t, err)
		for _, path := range strings.Fields(string(data)) {
			runs[path]++
		}
	}
	return runs
}

func (c *cluster) killAll() {
	for _, command := range c.processes {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

const (
	// The ports are below the kernel's ephemeral range, so that an allocated address is still
	// free when its process starts.
	firstPort, portBlocks, blockPorts = 20000, 12, 1000
)

// portBlock is the first port of the block of this test process. Its listener stays open, so that
// no other test process allocates from the block.
var portBlock = sync.OnceValue(func() int {
	for block := range portBlocks {
		port := firstPort + block*blockPorts
		if _, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port)); err == nil {
			return port
		}
	}
	panic("all blocks of ports are in use")
})

// lastPortOffset is the offset of the last allocated port from portBlock.
var lastPortOffset atomic.Int32

// freeAddress returns a loopback address with a TCP port that is not in use.
func freeAddress(t testing.TB) string {
	for range blockPorts {
		offset := int(lastPortOffset.Add(1))%(blockPorts-1) + 1
		address := fmt.Sprint("127.0.0.1:", portBlock()+offset)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("found no free TCP port on loopback")
	return ""
}

// eventually retries a condition for up to 20 s, since processes take time to start or
// to react, and fails the test with its last error.
func eventually(t testing.TB, condition func() error) {
	t.Helper()
	var err error
	for range 400 {
		if err = condition(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal(err)
}

func sendRequest(method, url, body string) (status int, responseBody string, err error) {
	status, _, responseBody, err = sendRequestWithTimeout(method, url, body, "")
	return status, responseBody, err
}

// sendRequestWithTimeout also returns the outcome header. Without timeoutMs the timeout
// of the service applies.
func sendRequestWithTimeout(method, url, body, timeoutMs string) (status int, outcome, responseBody string, err error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", "", err
	}
	if timeoutMs != "" {
		request.Header.Set(httpapi.HeaderTimeout, timeoutMs)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get(httpapi.HeaderOutcome), string(data), err
}

// waitOK repeats a request until the response has status 200.
func waitOK(t testing.TB, url string) {
	t.Helper()
	eventually(t, func() error {
		status, _, err := sendRequest("POST", url, "")
		return statusError(status, err)
	})
}
