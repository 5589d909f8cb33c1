package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

// hasAnyService is the set of a configuration that has every service.
func hasAnyService(string) bool { return true }

// TestPrecedence guards against an announcement of another writer that displaces an upstream,
// and against an upstream that stays displaced because it started earlier.
func TestPrecedence(t *testing.T) {
	announcement := func(service, instance string, startedMs int64, sequence uint64) *httpapi.Announcement {
		return &httpapi.Announcement{Service: service, Instance: instance, StartID: instance, StartedMs: startedMs, Sequence: sequence}
	}
	sound := announcement("known", "sound", 10, 5)
	foreign := announcement("unknown", "foreign", 20, 1)
	provisional := announcement("known", "sound", 0, 2)
	provisional.Provisional, provisional.StartID = true, provisionalStartID
	cases := []struct {
		name       string
		a, current *httpapi.Announcement
		err        error
	}{
		{"first", sound, nil, nil},
		{"first, of a service that is not known yet", foreign, nil, nil},
		{"another writer, later start", foreign, sound, errUnknownService},
		{"another writer, no start time", announcement("unknown", "foreign", 0, 0), sound, errUnknownService},
		{"another writer, earlier start", announcement("unknown", "foreign", 1, 1), sound, errOutdated},
		{"another writer after an assumption", foreign, provisional, nil},
		{"upstream after another writer, earlier start", sound, foreign, nil},
		{"assumed upstream after another writer", provisional, foreign, nil},
		{"assumption after the upstream", provisional, sound, errOutdated},
		{"next announcement", announcement("known", "sound", 10, 6), sound, nil},
		{"late announcement", announcement("known", "sound", 10, 4), sound, errOutdated},
		{"other service in the same start", announcement("unknown", "sound", 10, 6), sound, errServiceChanged},
		{"later start", announcement("known", "next", 11, 1), sound, nil},
		{"earlier start", announcement("known", "previous", 9, 9), sound, errOutdated},
		{"later start, neither service known", announcement("new", "next", 21, 1), foreign, nil},
		{"earlier start, neither service known", announcement("new", "previous", 19, 1), foreign, errOutdated},
	}
	knows := func(service string) bool { return service == "known" }
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.ErrorIs(t, checkPrecedence(c.a, c.current, knows), c.err) })
	}
}

// TestHeartbeatOfUnknownService guards against a node that serves nothing after one announcement
// of another writer, however early it comes: with an instance ID of its own, a later start and a
// service that no configuration has.
func TestHeartbeatOfUnknownService(t *testing.T) {
	foreign := announcementOf("other", 20, "other@20", 1)
	foreign.Instance = "other"
	for _, foreignFirst := range []bool{false, true} {
		n := startLoneNode(t)
		if foreignFirst {
			assert.NilError(t, n.Announce(foreign))
		}
		assert.NilError(t, n.Announce(announcementOf("s", 10, "i@10", 1)))
		assert.ErrorIs(t, n.Announce(foreign), errUnknownService)
		assert.NilError(t, n.Announce(announcementOf("s", 10, "i@10", 2)))
		assert.Assert(t, n.Node.upstream.isOpen("i"), "foreign first: %v", foreignFirst)
	}
}
