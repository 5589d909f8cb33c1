package distribute

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// maxBaseRevisions is the number of past revisions that a difference can start
// from. At 15,000 changes a day it covers about 98 minutes, longer than a
// partition of an hour.
const maxBaseRevisions = 1024

// ErrInvalidDocument reports a document that is no JSON object of sections.
var ErrInvalidDocument = errors.New("distribute: document cannot be split into sections")

// splitFields are the top-level fields whose entries are sections of their own.
var splitFields = map[string]bool{"services": true, "routes": true, "zones": true}

// Sections is an immutable revision of the document, split into sections, with
// what is needed to work out the difference from earlier revisions.
type Sections struct {
	revision uint64
	byPath    map[string]versionedSection
	// baseRevisions lists the revisions that were in force here, in ascending order.
	// A difference may only start at one of them: a section that changed twice
	// between two of them may look unchanged here.
	baseRevisions []uint64
}

// versionedSection is one section; json is nil when the section was removed.
type versionedSection struct {
	json      []byte
	changedRevision uint64
}

// NewSections returns revision 0, which has no section.
func NewSections() *Sections {
	return &Sections{byPath: map[string]versionedSection{}}
}

// Revision returns the revision of the document.
func (s *Sections) Revision() uint64 { return s.revision }

// Advance returns the sections of a later document, and the sections that
// changed. A revision that is not higher returns s unchanged. It returns
// ErrDocument for a document that is no JSON object.
func (s *Sections) Advance(revision uint64, document []byte) (*Sections, []*wire.Section, error) {
	if revision <= s.revision {
		return s, nil, nil
	}
	parts, err := splitDocument(document)
	if err != nil {
		return s, nil, err
	}
	var changes []*wire.Section
	for path, old := range s.byPath {
		if _, ok := parts[path]; !ok && old.json != nil {
			changes = append(changes, &wire.Section{Path: path})
		}
	}
	for path, data := range parts {
		if old, ok := s.byPath[path]; !ok || !bytes.Equal(old.json, data) {
			changes = append(changes, &wire.Section{Path: path, Json: data})
		}
	}
	sortSections(changes)
	return s.withChanges(revision, changes), changes, nil
}

// Patch returns the sections after a difference. It returns false when the
// difference does not start at the revision of s, or has a section that no
// document can be split into.
func (s *Sections) Patch(diff *wire.StateDiff) (*Sections, bool) {
	if diff.GetBaseRevision() != s.revision || diff.GetRevision() <= s.revision {
		return s, false
	}
	for _, section := range diff.GetSections() {
		if !isSectionPath(section.GetPath()) || (len(section.GetJson()) > 0 && !json.Valid(section.GetJson())) {
			return s, false
		}
	}
	return s.withChanges(diff.GetRevision(), diff.GetSections()), true
}

func (s *Sections) withChanges(revision uint64, changes []*wire.Section) *Sections {
	next := &Sections{revision: revision, byPath: maps.Clone(s.byPath)}
	next.baseRevisions = append(slices.Clip(s.baseRevisions), revision)
	if excess := len(next.baseRevisions) - maxBaseRevisions; excess > 0 {
		next.baseRevisions = slices.Clone(next.baseRevisions[excess:])
	}
	for _, change := range changes {
		data := change.GetJson()
		if len(data) == 0 {
			data = nil
		}
		next.byPath[change.GetPath()] = versionedSection{json: data, changedRevision: revision}
	}
	for path, p := range next.byPath {
		if p.json == nil && p.changedRevision < next.baseRevisions[0] {
			delete(next.byPath, path)
		}
	}
	return next
}

// Since returns the sections that differ from an earlier revision. It returns
// false when the revision was not in force here or is too old.
func (s *Sections) Since(revision uint64) ([]*wire.Section, bool) {
	if _, ok := slices.BinarySearch(s.baseRevisions, revision); !ok {
		return nil, false
	}
	var changes []*wire.Section
	for path, p := range s.byPath {
		if p.changedRevision > revision {
			changes = append(changes, &wire.Section{Path: path, Json: p.json})
		}
	}
	sortSections(changes)
	return changes, true
}

// JSON returns the whole document.
func (s *Sections) JSON() ([]byte, error) {
	root := map[string]any{}
	for path, p := range s.byPath {
		if p.json == nil {
			continue
		}
		key, name, nested := strings.Cut(path, "/")
		if !nested {
			root[key] = json.RawMessage(p.json)
			continue
		}
		entries, ok := root[key].(map[string]json.RawMessage)
		if !ok {
			entries = map[string]json.RawMessage{}
			root[key] = entries
		}
		entries[name] = p.json
	}
	data, err := json.Marshal(root)
	return data, errors.Wrap(err, "distribute: join sections")
}

func splitDocument(document []byte) (map[string][]byte, error) {
	root := map[string]json.RawMessage{}
	if err := json.Unmarshal(document, &root); err != nil {
		return nil, errors.WithMessage(ErrInvalidDocument, err.Error())
	}
	parts := map[string][]byte{}
	for key, data := range root {
		if strings.Contains(key, "/") {
			return nil, errors.WithMessagef(ErrInvalidDocument, "field %q has a slash", key)
		}
		if !splitFields[key] {
			parts[key] = data
			continue
		}
		entries := map[string]json.RawMessage{}
		if err := json.Unmarshal(data, &entries); err != nil {
			return nil, errors.WithMessage(ErrInvalidDocument, err.Error())
		}
		for name, entry := range entries {
			parts[key+"/"+name] = entry
		}
	}
	return parts, nil
}

// isSectionPath reports whether split gives such a path: a split field with the name of an
// entry, or another field alone. JSON would join other paths in no certain way.
func isSectionPath(path string) bool {
	key, _, nested := strings.Cut(path, "/")
	return nested == splitFields[key]
}

func sortSections(sections []*wire.Section) {
	sort.Slice(sections, func(i, j int) bool { return sections[i].GetPath() < sections[j].GetPath() })
}
