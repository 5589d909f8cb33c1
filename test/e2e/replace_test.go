package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

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
