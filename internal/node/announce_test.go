package node

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// announcementOf returns an announcement of the instance i of a service by its start time
// and sequence.
func announcementOf(service string, startedMs int64, startID string, sequence uint64) *httpapi.Announcement {
	return &httpapi.Announcement{
		Service: service, Address: "127.0.0.1:1", Instance: "i", StartID: startID, Slots: 4,
		StartedMs: startedMs, Sequence: sequence,
	}
}

func (n *testNode) isDeparting() bool {
	n.Node.upstream.mu.Lock()
	defer n.Node.upstream.mu.Unlock()
	return n.Node.upstream.departing
}

func startLoneNode(t *testing.T) *testNode {
	n := newFakeControl(t).startNode(t, "n", "a", "")
	eventually(t, func() bool { return n.directory.View().Revision == 1 })
	return n
}

// TestForeignServiceIsRejected guards against an announcement of another writer that moves a
// known instance to a service that it does not run.
func TestForeignServiceIsRejected(t *testing.T) {
	n := startLoneNode(t)
	first := announcementOf("s", 1, "i@1", 1)
	assert.NilError(t, n.Announce(first))
	assert.ErrorContains(t, n.Announce(announcementOf("other", 1, "i@1", 2)), "not that of this start")
	assert.ErrorContains(t, n.Announce(announcementOf("other", 2, "i@2", 1)), "no service")
	assert.Equal(t, n.Node.upstream.currentAnnouncement(), first, "a rejected announcement took effect")
}

// TestServiceUnknownYet guards against rejecting a new instance whose service this node's
// configuration does not have yet.
func TestServiceUnknownYet(t *testing.T) {
	n := startLoneNode(t)
	assert.NilError(t, n.Announce(announcementOf("later", 1, "i@1", 1)))
	assert.NilError(t, n.Announce(announcementOf("later", 1, "i@1", 2)))
	assert.NilError(t, n.Announce(announcementOf("latest", 2, "i@2", 1)))
	assert.Equal(t, n.Node.upstream.currentAnnouncement().Service, "latest")
}

// TestServiceOfProvisionalAnnouncement guards against rejecting an instance because the node
// had assumed that it is of the service in the settings.
func TestServiceOfProvisionalAnnouncement(t *testing.T) {
	n := startLoneNode(t)
	assumed := announcementOf("s", 0, "assumed", 0)
	assumed.Provisional = true
	assert.NilError(t, n.Announce(assumed))
	assert.NilError(t, n.Announce(announcementOf("later", 1, "i@1", 1)))
	assert.Equal(t, n.Node.upstream.currentAnnouncement().Service, "later")
}

// TestLateLeave guards against a departure of an earlier start that takes the present one out
// of service.
func TestLateLeave(t *testing.T) {
	n := startLoneNode(t)
	assert.NilError(t, n.Announce(announcementOf("s", 1, "i@1", 1)))
	assert.NilError(t, n.Announce(announcementOf("s", 2, "i@2", 1)))
	assert.Assert(t, !n.Leave("i", 1))
	assert.Assert(t, !n.Leave("other", 2))
	assert.Assert(t, !n.isDeparting())
	assert.Assert(t, n.Leave("i", 2))
	assert.Assert(t, n.isDeparting())
}

// TestVersionOfUpstream guards against a registry entry whose software version changes without a
// new version of the entry, and against a target instance that counts as old because one of its
// announcements omits the version.
func TestVersionOfUpstream(t *testing.T) {
	n := startLoneNode(t)
	entry := func() *wire.Instance { return n.Node.upstream.registryEntry("n", "a", "", 1) }
	versions := []uint64{}
	for i, step := range []struct{ start, announced, expected string }{
		{"i@1", "", ""}, {"i@1", "1", "1"}, {"i@1", "", "1"}, {"i@2", "", ""}, {"i@2", "2", "2"},
	} {
		a := announcementOf("s", int64(len(step.start))+int64(i), step.start, uint64(i+1))
		a.Version = step.announced
		assert.NilError(t, n.Announce(a))
		assert.Equal(t, entry().GetSoftwareVersion(), step.expected)
		versions = append(versions, entry().GetVersion())
	}
	assert.Assert(t, versions[0] < versions[1] && versions[1] == versions[2] && versions[2] < versions[3] && versions[3] < versions[4], "%v", versions)
	long := announcementOf("s", 9, "i@9", 9)
	long.Version = strings.Repeat("v", maxVersionBytes+1)
	assert.ErrorContains(t, n.Announce(long), "version")
}
