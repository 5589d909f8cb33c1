package directory

import (
	"encoding/json"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// canonical returns the document as control encodes it.
func canonical(data []byte) ([]byte, bool) {
	doc := &document.Document{}
	if json.Unmarshal(data, doc) != nil {
		return nil, false
	}
	encoded, err := json.Marshal(doc)
	return encoded, err == nil
}

// FuzzDocuments guards against a node that took a difference and holds another
// document than a node that took the whole one.
func FuzzDocuments(f *testing.F) {
	f.Add([]byte(`{"services":{"a":{"hosts":["h"]},"b":{}},"limits":{"claim_hours":3}}`), []byte(`{"services":{"b":{"owner":"red"}},"zones":{"z":{"state":"out"}}}`))
	f.Add([]byte(`{"services":{"a/b":{"rules":[{}]}}}`), []byte(`{}`))
	f.Add([]byte(`{"zones":{"":{}}}`), []byte(`null`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		first, ok := canonical(first)
		second, valid := canonical(second)
		if !ok || !valid {
			return
		}
		whole, patched := New(nil), New(nil)
		for _, d := range []*Directory{whole, patched} {
			d.Apply(&wire.StateFull{Revision: 1, Document: first, DocumentOnly: true})
		}
		whole.Apply(&wire.StateFull{Revision: 2, Document: second, DocumentOnly: true})
		message, err := whole.RevisionAbove(1)
		assert.NilError(t, err)
		assert.Assert(t, patched.ApplyDiff(message.GetStateDiff()))
		assert.Equal(t, describe(t, patched), describe(t, whole))
	})
}

// describe returns what a directory holds, in a form that can be compared.
func describe(t *testing.T, d *Directory) string {
	v := d.View()
	doc, err := patchSections(v.Doc, nil) // makes missing and empty maps the same
	assert.NilError(t, err)
	data, err := json.Marshal(map[string]any{"r": v.Revision, "d": doc, "h": v.Hosts, "s": v.Services, "t": v.Stale})
	assert.NilError(t, err)
	return string(data)
}

// FuzzDirectory guards against a panic on any state from control or a peer, against a
// revision that falls, and against views that depend on more than the messages.
func FuzzDirectory(f *testing.F) {
	instances := []*wire.Instance{{Id: "a", Service: "drafts"}, {Id: "a", Service: "archive"}, nil}
	full, _ := proto.Marshal(&wire.StateFull{Revision: 2, Document: []byte(`{"services":{"drafts":null}}`), Instances: instances})
	sections := []*wire.Section{{Path: "services/drafts"}, {Path: "limits", Json: []byte(`{}`)}, {Path: "teams/x", Json: []byte(`{`)}}
	diff, _ := proto.Marshal(&wire.StateDiff{BaseRevision: 2, Revision: 3, Sections: sections, RegistryVersion: 1, Changed: instances, Removed: []string{"a"}})
	f.Add(full, diff)
	f.Add(diff, full)
	f.Fuzz(func(t *testing.T, first, second []byte) {
		a, b := New(nil), New(nil)
		for _, data := range [][]byte{first, second} {
			full, diff := &wire.StateFull{}, &wire.StateDiff{}
			isFull, isDiff := proto.Unmarshal(data, full) == nil, proto.Unmarshal(data, diff) == nil
			for _, d := range []*Directory{a, b} {
				before := d.View().Revision
				if isFull {
					d.Apply(full)
				}
				if isDiff {
					d.ApplyDiff(diff)
				}
				assert.Assert(t, d.View().Revision >= before)
				_, err := d.RevisionAbove(0)
				assert.NilError(t, err)
			}
			assert.Equal(t, describe(t, a), describe(t, b))
		}
	})
}
