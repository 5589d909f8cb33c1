package e2e

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/settings"
)

// configureMember adds a member with a new address that is to join the cluster, and returns its
// index. It must not be called while an editor runs.
func (m *controlCluster) configureMember() int {
	i := len(m.memberSettings)
	listen := freeAddress(m.t)
	var join []string
	for _, s := range m.memberSettings {
		join = append(join, s.MeshAddress)
	}
	m.memberSettings = append(m.memberSettings, &settings.Control{
		ID: fmt.Sprintf("control-%d", i+1), Zone: "seq-a", DataDir: filepath.Join(m.dir, fmt.Sprintf("data-%d", i+1)),
		MeshListen: listen, MeshAddress: listen, APIListen: freeAddress(m.t), Join: join,
	})
	return i
}

// TestReplacedControlVMs guards against accepted edits that are lost, and against a cluster
// without a quorum, when two disks are lost with all power after two control VMs were replaced
// by others at new addresses, one after a kill and one planned, while edits go on.
func TestReplacedControlVMs(t *testing.T) {
	m := newControlCluster(t, 5)
	m.waitVoters(0, 5)
	successor, secondSuccessor := m.configureMember(), m.configureMember()
	e := m.startEditor()
	e.waitAccepted(10)

	killed := m.leader()
	m.killMember(killed)
	m.startMember(successor)
	m.waitVoters(successor, 5)
	e.waitAccepted(10)

	planned := (killed + 1) % 5
	m.startMember(secondSuccessor)
	m.stop(m.memberSettings[planned].ID)
	m.waitVoters(secondSuccessor, 5)
	e.waitAccepted(10)
	e.stopAndWait()

	var running []int
	for i := range m.memberSettings {
		if i != killed && i != planned {
			running = append(running, i)
			m.killMember(i)
		}
	}
	for n, i := range running {
		if n < 2 {
			assert.NilError(t, os.RemoveAll(m.memberSettings[i].DataDir))
		}
		m.startMember(i)
	}
	for _, i := range running {
		m.waitVoters(i, 5)
	}
	e.requireLastEdit()
}

// serviceRecoveryTimeout is the time after all processes are back within which requests must be
// served again.
const serviceRecoveryTimeout = 15 * time.Second

// TestServiceReturnsAfterDisksAreLost guards against a service that stays away for good: a
// control VM was replaced by one at another address, and later two disks are lost while all
// other processes are killed, those of the nodes and upstreams too.
func TestServiceReturnsAfterDisksAreLost(t *testing.T) {
	m := newControlCluster(t, 5)
	m.waitVoters(0, 5)
	node := m.startNodeOf(m.memberSettings)
	m.startUpstream("drafts", "drafts-1", node)
	waitOK(t, entryURL(node, "/before"))
	successor := m.configureMember()
	replaced := m.leader()
	m.killMember(replaced)
	m.startMember(successor)
	m.waitVoter(successor)

	running := []int{}
	for i := range m.memberSettings {
		if i != replaced {
			running = append(running, i)
			m.killMember(i)
		}
	}
	m.stopAtOnce(node.ID)
	m.stopAtOnce("drafts-1")
	for n, i := range running {
		if n < 2 {
			assert.NilError(t, os.RemoveAll(m.memberSettings[i].DataDir))
		}
		m.startMember(i)
	}
	m.startWithSettings("chicorylever-node", node.ID, node)
	m.startUpstream("drafts", "drafts-1", node)
	deadline := time.Now().Add(serviceRecoveryTimeout)
	for {
		status, _, err := sendRequest("GET", entryURL(node, "/after"), "")
		if err == nil && status == http.StatusOK {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "no request is served %v after the processes are back: status %d, error %v", serviceRecoveryTimeout, status, err)
		time.Sleep(50 * time.Millisecond)
	}
}

// startNodeOf starts a node that connects to all of the members.
func (m *controlCluster) startNodeOf(members []*settings.Control) *settings.Node {
	node := &settings.Node{
		ID: "node-1", Zone: "seq-a",
		EntryListen: freeAddress(m.t), LocalListen: freeAddress(m.t), MeshListen: freeAddress(m.t), AdminListen: freeAddress(m.t),
	}
	for _, member := range members {
		node.Control = append(node.Control, member.MeshAddress)
	}
	m.startWithSettings("chicorylever-node", node.ID, node)
	return node
}

// waitVoter waits until the member itself is a voter.
func (m *controlCluster) waitVoter(i int) {
	eventually(m.t, func() error {
		body, err := m.status(i)
		if err != nil {
			return err
		}
		for _, member := range body.Cluster.Members {
			if member.Address == m.memberSettings[i].MeshAddress && !member.Learner {
				return nil
			}
		}
		return fmt.Errorf("member %d is no voter yet", i+1)
	})
}

// stopAtOnce kills a process and waits for its end.
func (c *cluster) stopAtOnce(name string) {
	command := c.process(name)
	_ = command.Process.Kill()
	_ = command.Wait()
}
