package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// TestPeersPassRevision guards against a node that is cut off from control and
// does not learn that a zone was taken out, and against a node without any
// revision that takes an old one from a peer.
func TestPeersPassRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in, out := New(nil), New(nil)
		first := []byte(`{"zones":{"seq-a":{"state":"in"}},"services":{"drafts":{"timeout_ms":5}}}`)
		second := []byte(`{"zones":{"seq-a":{"state":"out"}},"services":{"drafts":{"timeout_ms":5}}}`)
		out.Apply(&wire.StateFull{Revision: 1, Document: first})
		out.Apply(&wire.StateFull{Revision: 2, Document: second})
		fetches := 0
		in.fetch = func(_ context.Context, _ string, have uint64) (*wire.Envelope, error) {
			fetches++
			message, err := out.RevisionAbove(have)
			assert.Assert(t, message.GetStateDiff() != nil, "a peer that held the revision sends the difference")
			return message, err
		}
		in.ObserveRevision("peer", 2)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, in.View().Revision, uint64(0))
		in.Apply(&wire.StateFull{Revision: 1, Document: first, Instances: []*wire.Instance{{Id: "a", Service: "drafts"}}})
		for range 10 {
			in.ObserveRevision("peer", 2)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, fetches, 1)
		assert.Equal(t, in.View().Revision, uint64(2))
		assert.Equal(t, in.View().Doc.Zones["seq-a"].State, document.ZoneOut)
		assert.Equal(t, len(in.View().Services["drafts"]), 1)
	})
}
