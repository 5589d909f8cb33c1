package distribute

import (
	"testing"
	"unicode/utf8"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// FuzzSections guards against a panic on any input, against a document that
// changes when it is split into sections and merged again, and against a diff whose result
// differs from the full document.
func FuzzSections(f *testing.F) {
	f.Add([]byte(`{"services":{"a":{"owner":"red"},"b":{}},"limits":{}}`), []byte(`{"services":{"b":{}},"zones":{"z":{"state":"out"}}}`))
	f.Add([]byte(`{"services":null,"zones":{"":null}}`), []byte(`{"services":{"a/b":1}}`))
	f.Add([]byte(`{"a":1,"a/b":2}`), []byte(`null`))
	f.Add([]byte(`{"services":[]}`), []byte(`{`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		before, ok := advance(t, NewSections(), 1, first)
		if !ok {
			return
		}
		reparsed, _ := advance(t, NewSections(), 1, wholeDocument(t, before))
		assert.Equal(t, string(wholeDocument(t, reparsed)), string(wholeDocument(t, before)))
		assert.Equal(t, len(reparsed.byPath), len(before.byPath))
		after, ok := advance(t, before, 2, second)
		if !ok {
			return
		}
		changes, ok := after.Since(1)
		assert.Assert(t, ok)
		patched, ok := before.Patch(&wire.StateDiff{BaseRevision: 1, Revision: 2, Sections: changes})
		assert.Assert(t, ok)
		assert.Equal(t, string(wholeDocument(t, patched)), string(wholeDocument(t, after)))
	})
}

func advance(t *testing.T, s *Sections, revision uint64, document []byte) (*Sections, bool) {
	next, _, err := s.Advance(revision, document)
	assert.Assert(t, err == nil || errors.Is(err, ErrInvalidDocument))
	return next, err == nil
}

func wholeDocument(t *testing.T, s *Sections) []byte {
	data, err := s.JSON()
	assert.NilError(t, err)
	return data
}

// FuzzPatch guards against Patch accepting a diff whose sections cannot be merged into a
// document or are merged into different documents by different calls.
func FuzzPatch(f *testing.F) {
	f.Add("services/a", []byte(`{}`), "zones/z", []byte(`{"state":"in"}`))
	f.Add("services", []byte(`{"a":1}`), "services/a", []byte(`2`))
	f.Add("limits/a", []byte(`1`), "limits", []byte(`{}`))
	f.Add("services/a", []byte(`{`), "services/a", []byte{})
	f.Add("\xb1", []byte(`{}`), "0", []byte(`0`))
	f.Fuzz(func(t *testing.T, path string, data []byte, secondPath string, secondData []byte) {
		if !utf8.ValidString(path) || !utf8.ValidString(secondPath) {
			return // decoding a wire.Section rejects paths that are not valid UTF-8
		}
		changes := []*wire.Section{{Path: path, Json: data}, {Path: secondPath, Json: secondData}}
		patched, ok := NewSections().Patch(&wire.StateDiff{Revision: 1, Sections: changes})
		if !ok {
			return
		}
		merged := wholeDocument(t, patched)
		reparsed, ok := advance(t, NewSections(), 1, merged)
		assert.Assert(t, ok)
		assert.Equal(t, string(wholeDocument(t, reparsed)), string(merged))
		assert.Equal(t, string(wholeDocument(t, patched)), string(merged))
	})
}
