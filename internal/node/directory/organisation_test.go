package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// organisationSection returns the section of an organisation with one key, as nodes receive it.
func organisationSection(t testing.TB, name, key string) *wire.Section {
	section := &wire.Section{Path: "organisations/" + name}
	if key != "" {
		doc := document.Document{Organisations: map[string]document.Organisation{name: {Keys: []string{key}}}}
		var err error
		section.Json, err = json.Marshal(doc.ForNodes().Organisations[name])
		assert.NilError(t, err)
	}
	return section
}

// TestOrganisationsOfDiffs guards against keys of an earlier revision after a diff, against
// rebuilding the index for changes of other sections, and against a key in clear in what a node
// passes on to its peers.
func TestOrganisationsOfDiffs(t *testing.T) {
	node, peer := New(nil), New(nil)
	full := &wire.StateFull{Revision: 1, Document: []byte(`{"organisations":{"o":` + string(organisationSection(t, "o", "key-1").Json) + `}}`)}
	node.Apply(full)
	peer.Apply(full)
	accepts := func(d *Directory, key string) bool {
		_, ok := d.View().Organisations.Authenticate(key)
		return ok
	}
	assert.Assert(t, accepts(node, "key-1"))
	before := node.View().Organisations
	assert.Assert(t, node.ApplyDiff(&wire.StateDiff{BaseRevision: 1, Revision: 2, Sections: []*wire.Section{{Path: "zones/a", Json: []byte(`{}`)}}}))
	assert.Equal(t, node.View().Organisations, before)
	changes := []*wire.Section{organisationSection(t, "o", ""), organisationSection(t, "p", "key-2")}
	assert.Assert(t, node.ApplyDiff(&wire.StateDiff{BaseRevision: 2, Revision: 3, Sections: changes}))
	assert.Assert(t, !accepts(node, "key-1") && accepts(node, "key-2"))

	update, err := node.UpdateSince(1)
	assert.NilError(t, err)
	assert.Assert(t, peer.ApplyDiff(update.GetStateDiff()))
	assert.Assert(t, !accepts(peer, "key-1") && accepts(peer, "key-2"))
	full3, err := node.UpdateSince(0)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(fmt.Sprint(update, full3), "key-2"))
}

// TestAwaitObserved guards against a request that is held for a revision that no peer has
// stated, that is already in force or that does not arrive, and against one that is not held
// until a stated revision arrives.
func TestAwaitObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := New(nil)
		arrives := true
		node.fetch = func(context.Context, string, uint64) (*wire.Envelope, error) {
			if !arrives {
				return nil, context.DeadlineExceeded
			}
			time.Sleep(10 * time.Millisecond)
			full := &wire.StateFull{Revision: 2, Document: []byte(`{}`)}
			return &wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: full}}, nil
		}
		node.Apply(&wire.StateFull{Revision: 1, Document: []byte(`{}`)})
		await := func() (revision uint64, waited time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			started := time.Now()
			return node.AwaitObserved(ctx).Revision, time.Since(started)
		}
		check := func(wantRevision uint64, wantWait time.Duration) {
			t.Helper()
			revision, waited := await()
			assert.Equal(t, revision, wantRevision)
			assert.Equal(t, waited, wantWait)
		}
		check(1, 0)
		node.ObserveRevision("peer", 2)
		check(2, 10*time.Millisecond)
		check(2, 0)
		arrives = false
		node.ObserveRevision("peer", 3)
		check(2, 300*time.Millisecond)
		time.Sleep(observedRevisionTimeout)
		check(2, 0)
	})
}

// organisationsDocument returns the encoded document as nodes receive it.
func organisationsDocument(t testing.TB, organisations, routes int) []byte {
	doc := document.Document{
		Services:      map[string]document.Service{"service-0": {Owner: "platform", TimeoutMs: 5000}},
		Routes:        map[string]document.Route{},
		Organisations: map[string]document.Organisation{},
	}
	for i := range routes {
		doc.Routes[fmt.Sprint("route-", i)] = document.Route{
			Owner: "platform", Host: fmt.Sprint("host-", i%140, ".example"), PathPrefix: fmt.Sprint("/path-", i, "/"),
			Kind: document.RouteIdempotent, TimeoutMs: 1500, ObjectiveMs: 500, MaxAttempts: 2,
			Backends: []document.Backend{{Service: "service-0", Weight: 90}, {Service: "service-1", Weight: 10}},
		}
	}
	for i := range organisations {
		name := fmt.Sprint("organisation-", i)
		doc.Organisations[name] = document.Organisation{
			Owner: "platform", Keys: []string{name + "-a", name + "-b"}, Priority: i % 2, RatePerSecond: 248, Burst: 248,
		}
	}
	data, err := json.Marshal(doc.ForNodes())
	assert.NilError(t, err)
	return data
}

// applyDocument applies a full document and returns the bytes that this allocates and the size
// of the document.
func applyDocument(d *Directory, data []byte) (allocatedBytes, documentBytes float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	d.Apply(&wire.StateFull{Revision: 1, Document: data})
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc), float64(len(data))
}

// BenchmarkOrganisations measures the heap memory of the directory with organisations of two
// keys each, the size of the document, what the directory allocates to apply it, the memory and
// the time of a diff of one organisation, and the time of a lookup.
func BenchmarkOrganisations(b *testing.B) {
	for _, size := range [][2]int{{0, 2400}, {88, 2400}, {10_000, 2400}} {
		name := fmt.Sprintf("organisations=%d/routes=%d", size[0], size[1])
		b.Run("apply/"+name, func(b *testing.B) {
			before := heapBytes()
			d := New(nil)
			allocatedBytes, documentBytes := applyDocument(d, organisationsDocument(b, size[0], size[1]))
			usedBytes := heapBytes() - before
			revision := uint64(1)
			sections := [2]*wire.Section{organisationSection(b, "organisation-5", "x"), organisationSection(b, "organisation-5", "y")}
			b.ReportAllocs()
			for b.Loop() {
				d.ApplyDiff(&wire.StateDiff{BaseRevision: revision, Revision: revision + 1, Sections: sections[revision%2 : revision%2+1]})
				revision++
			}
			b.ReportMetric(usedBytes/1024, "KB")
			b.ReportMetric(documentBytes/1024, "document-KB")
			b.ReportMetric(allocatedBytes/1024, "full-KB")
			runtime.KeepAlive(d)
		})
		b.Run("lookup/"+name, func(b *testing.B) {
			d := New(nil)
			d.Apply(&wire.StateFull{Revision: 1, Document: organisationsDocument(b, size[0], size[1])})
			b.ReportAllocs()
			for b.Loop() {
				d.View().Organisations.Authenticate("organisation-5-b")
			}
		})
	}
}
