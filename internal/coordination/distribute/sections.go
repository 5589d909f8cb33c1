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

// maxBaseRevisions is the number of past revisions from which a diff can be computed. At
// 15,000 changes a day it covers about 98 minutes, longer than a network partition of
// one hour.
const maxBaseRevisions = 1024

// ErrInvalidDocument reports a document that is not a JSON object or whose fields cannot
// be split into sections.
var ErrInvalidDocument = errors.New("distribute: document cannot be split into sections")

// splitFields are the top-level fields whose entries are separate sections. Every other
// top-level field is one section.
var splitFields = map[string]bool{"services": true, "routes": true, "zones": true, "organisations": true, "rollouts": true}

// Sections is an immutable revision of the document, split into sections, with the
// history that is needed to compute diffs from earlier revisions.
type Sections struct {
	revision uint64
	byPath   map[string]versionedSection
	// baseRevisions lists the revisions that this process has applied, in ascending order.
	// A diff may start only at one of them: a section that changed twice between two of
	// them may appear unchanged here, so a diff from a skipped revision could omit it.
	baseRevisions []uint64
}

// versionedSection is a section with the revision that last changed it; json is nil when
// the section was removed.
type versionedSection struct {
	json            []byte
	changedRevision uint64
}

// NewSections returns revision 0, which has no sections.
func NewSections() *Sections {
	return &Sections{byPath: map[string]versionedSection{}}
}

// Revision returns the revision of the document.
func (s *Sections) Revision() uint64 { return s.revision }

// Advance returns the sections of a later document and the sections that changed. When
// the revision is not higher, it returns s unchanged. It returns ErrInvalidDocument for a
// document that cannot be split.
func (s *Sections) Advance(revision uint64, document []byte) (*Sections, []*wire.Section, error) {
	if revision <= s.revision {
		return s, nil, nil
	}
	sections, err := splitDocument(document)
	if err != nil {
		return s, nil, err
	}
	var changes []*wire.Section
	for path, old := range s.byPath {
		if _, ok := sections[path]; !ok && old.json != nil {
			changes = append(changes, &wire.Section{Path: path})
		}
	}
	for path, data := range sections {
		if old, ok := s.byPath[path]; !ok || !bytes.Equal(old.json, data) {
			changes = append(changes, &wire.Section{Path: path, Json: data})
		}
	}
	sortSections(changes)
	return s.withChanges(revision, changes), changes, nil
}

// Patch returns the sections with a diff applied. It returns false when the base of the
// diff is not the revision of s, when its revision is not higher, or when a section has
// invalid JSON or a path that splitDocument never produces.
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

// withChanges returns the sections with the changes of a revision applied. It discards
// sections that were removed before the oldest base revision.
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
	for path, section := range next.byPath {
		if section.json == nil && section.changedRevision < next.baseRevisions[0] {
			delete(next.byPath, path)
		}
	}
	return next
}

// Since returns the sections that changed after an earlier revision. It returns false
// when this process did not apply that revision or it is too old.
func (s *Sections) Since(revision uint64) ([]*wire.Section, bool) {
	if _, ok := slices.BinarySearch(s.baseRevisions, revision); !ok {
		return nil, false
	}
	var changes []*wire.Section
	for path, section := range s.byPath {
		if section.changedRevision > revision {
			changes = append(changes, &wire.Section{Path: path, Json: section.json})
		}
	}
	sortSections(changes)
	return changes, true
}

// JSON returns the document, merged from its sections.
func (s *Sections) JSON() ([]byte, error) {
	root := map[string]any{}
	for path, section := range s.byPath {
		if section.json == nil {
			continue
		}
		key, name, nested := strings.Cut(path, "/")
		if !nested {
			root[key] = json.RawMessage(section.json)
			continue
		}
		entries, ok := root[key].(map[string]json.RawMessage)
		if !ok {
			entries = map[string]json.RawMessage{}
			root[key] = entries
		}
		entries[name] = section.json
	}
	data, err := json.Marshal(root)
	return data, errors.Wrap(err, "distribute: encode the document from its sections")
}

func splitDocument(document []byte) (map[string][]byte, error) {
	root := map[string]json.RawMessage{}
	if err := json.Unmarshal(document, &root); err != nil {
		return nil, errors.WithMessage(ErrInvalidDocument, err.Error())
	}
	sections := map[string][]byte{}
	for key, data := range root {
		if strings.Contains(key, "/") {
			return nil, errors.WithMessagef(ErrInvalidDocument, "field name %q contains a slash", key)
		}
		if !splitFields[key] {
			sections[key] = data
			continue
		}
		entries := map[string]json.RawMessage{}
		if err := json.Unmarshal(data, &entries); err != nil {
			return nil, errors.WithMessage(ErrInvalidDocument, err.Error())
		}
		for name, entry := range entries {
			sections[key+"/"+name] = entry
		}
	}
	return sections, nil
}

// isSectionPath reports whether splitDocument can produce the path: FIELD/ENTRY for a field
// in splitFields, otherwise FIELD alone. JSON could not merge other paths unambiguously.
func isSectionPath(path string) bool {
	key, _, nested := strings.Cut(path, "/")
	return nested == splitFields[key]
}

func sortSections(sections []*wire.Section) {
	sort.Slice(sections, func(i, j int) bool { return sections[i].GetPath() < sections[j].GetPath() })
}
