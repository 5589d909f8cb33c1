package distribute

import (
	"testing"
	"unicode/utf8"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// FuzzSections guards against a panic on any document, against a document that is
// joined differently from how it was split, and against a difference that leads to
// another document than the whole one.
func FuzzSections(f *testing.F) {
	f.Add([]byte(`{"services":{"a":{"owner":"red"},"b":{}},"limits":{}}`), []byte(`{"services":{"b":{}},"zones":{"z":{"state":"out"}}}`))
	f.Add([]byte(`{"services":null,"zones":{"":null}}`), []byte(`{"services":{"a/b":1}}`))
	f.Add([]byte(`{"a":1,"a/b":2}`), []byte(`null`))
	f.Add([]byte(`{"services":[]}`), []byte(`{`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		start, ok := advance(t, NewSections(), 1, first)
		if !ok {
			return
		}
		again, _ := advance(t, NewSections(), 1, wholeDocument(t, start))
		assert.Equal(t, string(wholeDocument(t, again)), string(wholeDocument(t, start)))
		assert.Equal(t, len(again.byPath), len(start.byPath))
		end, ok := advance(t, start, 2, second)
		if !ok {
			return
		}
		changes, ok := end.Since(1)
		assert.Assert(t, ok)
		patched, ok := start.Patch(&wire.StateDiff{BaseRevision: 1, Revision: 2, Sections: changes})
		assert.Assert(t, ok)
		assert.Equal(t, string(wholeDocument(t, patched)), string(wholeDocument(t, end)))
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

// FuzzPatch guards against a difference that is accepted and leaves a document that
// cannot be joined, or is joined in several ways.
func FuzzPatch(f *testing.F) {
	f.Add("services/a", []byte(`{}`), "zones/z", []byte(`{"state":"in"}`))
	f.Add("services", []byte(`{"a":1}`), "services/a", []byte(`2`))
	f.Add("limits/a", []byte(`1`), "limits", []byte(`{}`))
	f.Add("services/a", []byte(`{`), "services/a", []byte{})
	f.Add("\xb1", []byte(`{}`), "0", []byte(`0`))
	f.Fuzz(func(t *testing.T, path string, data []byte, second string, secondData []byte) {
		if !utf8.ValidString(path) || !utf8.ValidString(second) {
			return // the decoding of wire.Section refuses such paths
		}
		changes := []*wire.Section{{Path: path, Json: data}, {Path: second, Json: secondData}}
		patched, ok := NewSections().Patch(&wire.StateDiff{Revision: 1, Sections: changes})
		if !ok {
			return
		}
		whole := wholeDocument(t, patched)
		again, ok := advance(t, NewSections(), 1, whole)
		assert.Assert(t, ok)
		assert.Equal(t, string(wholeDocument(t, again)), string(whole))
		assert.Equal(t, string(wholeDocument(t, patched)), string(whole))
	})
}
