package distribute

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	// slowLinkBytesPerSecond is the rate of a link of 2 Mbit/s.
	slowLinkBytesPerSecond = 250_000
	// applyTime is the time within which a change has to be in force on such a link.
	applyTime = 2 * time.Second
	// maxUpdateShare is the share of the link that an update may take within applyTime; the rest
	// is for requests.
	maxUpdateShare = 0.25

	manyRoutes = 1400
)

// documentWithRoutes returns a document with many routes of random names, each split between two
// services.
func documentWithRoutes(t testing.TB) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	doc := document.Document{Services: map[string]document.Service{"huvo11a": {}, "kafi81c": {}}, Routes: map[string]document.Route{}}
	for range manyRoutes {
		doc.Routes[fmt.Sprintf("r-%07x", random.Uint32())] = document.Route{
			Owner: "operators", Host: fmt.Sprintf("%06x.example", random.Uint32()>>8), PathPrefix: fmt.Sprintf("/%06x/%04x/", random.Uint32()>>8, random.Uint32()>>16),
			TimeoutMs: 1000 + random.IntN(4000), MaxAttempts: 2,
			Backends: []document.Backend{{Service: "huvo11a", Weight: 90}, {Service: "kafi81c", Weight: 10}},
		}
	}
	data, err := json.Marshal(doc)
	assert.NilError(t, err)
	return data
}

// TestManyRoutesFitSlowLink guards against a change of many routes that occupies the link of a
// node for so long that it is in force late and requests wait behind it, from control and from
// another node, as a difference and as a full document.
func TestManyRoutesFitSlowLink(t *testing.T) {
	empty, _, err := NewSections().Advance(1, []byte(`{}`))
	assert.NilError(t, err)
	current, _, err := empty.Advance(2, documentWithRoutes(t))
	assert.NilError(t, err)
	for _, have := range []uint64{0, 1} {
		message, err := DocumentUpdate(current, have)
		assert.NilError(t, err)
		encoded, err := cacheKey{compressed: true}.encode(message)
		assert.NilError(t, err)
		limit := maxUpdateShare * slowLinkBytesPerSecond * applyTime.Seconds()
		assert.Assert(t, float64(len(encoded)) <= limit, "%d bytes from revision %d, at most %.0f", len(encoded), have, limit)
	}
}

// TestStateOnSlowLink guards against a session that is taken for dead while a large message
// arrives slowly: the node would begin again at another member and get the message late or never.
func TestStateOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodeConn, memberConn := net.Pipe()
		dials := 0
		dial := func(context.Context, string) (net.Conn, error) {
			dials++
			return nodeConn, nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		sink := &fakeSink{}
		done := make(chan struct{})
		go func() {
			defer close(done)
			NewClient("node", []string{"a"}, dial, sink, log.NewNopLogger()).Run(ctx)
		}()
		conn := frame.NewConn(memberConn)
		go func() {
			for {
				if _, err := conn.Receive(); err != nil {
					return
				}
			}
		}()
		assert.NilError(t, conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: &wire.StateFull{Revision: 1, RegistryVersion: 1}}}))
		encoded, err := frame.Encode(&wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: &wire.StateFull{Revision: 2, Document: documentWithRoutes(t), DocumentOnly: true}}})
		assert.NilError(t, err)
		const pieceBytes = slowLinkBytesPerSecond / 20
		for len(encoded) > 0 {
			size := min(pieceBytes, len(encoded))
			// Half of the link is left for requests.
			time.Sleep(time.Second / 10)
			if _, err := memberConn.Write(encoded[:size]); err != nil {
				break
			}
			encoded = encoded[size:]
		}
		synctest.Wait()
		assert.Check(t, dials == 1, "the node has left the member")
		assert.Check(t, sink.lastApplied == 2)
		cancel()
		_ = memberConn.Close()
		<-done
	})
}
