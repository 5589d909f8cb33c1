package directory

import (
	"encoding/json"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// canonical returns the document in the encoding of control, or false when it cannot be
// decoded.
func canonical(data []byte) ([]byte, bool) {
	doc := &document.Document{}
	if json.Unmarshal(data, doc) != nil {
		return nil, false
	}
	encoded, err := json.Marshal(doc)
	return encoded, err == nil
}

// FuzzDocuments guards against a diff that leads to a different document than the full
// document of the same revision.
func FuzzDocuments(f *testing.F) {
	f.Add([]byte(`{"services":{"a":{"hosts":["h"]},"b":{}},"limits":{"claim_hours":3}}`), []byte(`{"services":{"b":{"owner":"red"}},"zones":{"z":{"state":"out"}}}`))
	f.Add([]byte(`{"services":{"a/b":{"rules":[{}]}}}`), []byte(`{}`))
	f.Add([]byte(`{"zones":{"":{}}}`), []byte(`null`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		first, firstOK := canonical(first)
		second, secondOK := canonical(second)
		if !firstOK || !secondOK {
			return
		}
		replaced, patched := New(nil), New(nil)
		for _, d := range []*Directory{replaced, patched} {
			d.Apply(&wire.StateFull{Revision: 1, Document: first, DocumentOnly: true})
		}
		replaced.Apply(&wire.StateFull{Revision: 2, Document: second, DocumentOnly: true})
		message, err := replaced.UpdateSince(1)
		assert.NilError(t, err)
		assert.Assert(t, patched.ApplyDiff(message.GetStateDiff()))
		assert.Equal(t, describe(t, patched), describe(t, replaced))
	})
}

// describe returns the current view of a directory as JSON, for comparison.
func describe(t *testing.T, d *Directory) string {
	v := d.View()
	doc, err := patchSections(v.Doc, nil) // replaces nil maps by empty ones, so that both compare as equal
	assert.NilError(t, err)
	data, err := json.Marshal(map[string]any{"r": v.Revision, "d": doc, "h": v.Hosts, "s": v.Services, "t": v.Stale})
	assert.NilError(t, err)
	return string(data)
}

// FuzzDirectory guards against a panic on any state from control or a peer, against a
// revision that decreases, and against directories whose views differ after the same
// messages.
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
				_, err := d.UpdateSince(0)
				assert.NilError(t, err)
			}
			assert.Equal(t, describe(t, a), describe(t, b))
		}
	})
}
