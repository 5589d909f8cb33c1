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

// TestFetchRevisionFromPeer guards against a node that is partitioned from control and
// does not learn from its peers that a zone was taken out of service, and against a node
// without any revision that adopts an old one from a peer.
func TestFetchRevisionFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node, peer := New(nil), New(nil)
		first := []byte(`{"zones":{"seq-a":{"state":"in"}},"services":{"drafts":{"timeout_ms":5}}}`)
		second := []byte(`{"zones":{"seq-a":{"state":"out"}},"services":{"drafts":{"timeout_ms":5}}}`)
		peer.Apply(&wire.StateFull{Revision: 1, Document: first})
		peer.Apply(&wire.StateFull{Revision: 2, Document: second})
		fetches := 0
		node.fetch = func(_ context.Context, _ string, sinceRevision uint64) (*wire.Envelope, error) {
			fetches++
			message, err := peer.UpdateSince(sinceRevision)
			assert.Assert(t, message.GetStateDiff() != nil, "a peer that had the requested base revision sends a diff")
			return message, err
		}
		node.ObserveRevision("peer", 2)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, node.View().Revision, uint64(0))
		node.Apply(&wire.StateFull{Revision: 1, Document: first, Instances: []*wire.Instance{{Id: "a", Service: "drafts"}}})
		for range 10 {
			node.ObserveRevision("peer", 2)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, fetches, 1)
		assert.Equal(t, node.View().Revision, uint64(2))
		assert.Equal(t, node.View().Doc.Zones["seq-a"].State, document.ZoneOut)
		assert.Equal(t, len(node.View().Services["drafts"]), 1)
	})
}
