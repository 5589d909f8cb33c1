package document

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// View is an immutable state of the document. Any goroutine may read it; its maps must
// not be modified.
type View struct {
	// Revision is 0 while there is no document.
	Revision uint64
	// Document is never nil.
	Document *Document

	// versions holds the version of each section by path.
	versions map[string]uint64
	// items holds the highest item version of each section by path, removed sections
	// included.
	items map[string]itemVersion
	// history holds the kept changes, oldest first.
	history []Change
	// replaced is closed once the machine has a newer view.
	replaced chan struct{}
}

// SectionInfo is the metadata of a section.
type SectionInfo struct {
	Path string `json:"path"`
	// Owner is the team that may replace the section, empty when every admin team may.
	Owner   string `json:"owner,omitempty"`
	Version uint64 `json:"version"`
}

func newView() *View {
	return &View{Document: &Document{}, versions: map[string]uint64{}, replaced: make(chan struct{})}
}

// Replaced returns a channel that is closed once the machine has a newer view.
func (v *View) Replaced() <-chan struct{} { return v.replaced }

// Sections returns the metadata of all sections, sorted by path.
func (v *View) Sections() []SectionInfo {
	infos := []SectionInfo{}
	if v.Revision == 0 {
		return infos
	}
	for _, path := range v.Document.sectionPaths() {
		info, _ := v.lookupSection(path)
		infos = append(infos, info)
	}
	return infos
}

// lookupSection returns the section at path and its metadata, or nil when there is no such
// section.
func (v *View) lookupSection(path string) (SectionInfo, any) {
	p, err := parsePath(path)
	if err != nil || v.Revision == 0 {
		return SectionInfo{}, nil
	}
	section, ok := v.Document.section(p)
	if !ok {
		return SectionInfo{}, nil
	}
	return SectionInfo{path, sectionOwner(section), v.versions[path]}, section
}

// Section returns the metadata and JSON encoding of a section. It leaves out the token
// digests of teams other than readerTeam and the keys that readerTeam may not see. ok is false when there is no such section.
func (v *View) Section(path, readerTeam string) (info SectionInfo, body []byte, ok bool) {
	info, section := v.lookupSection(path)
	if section == nil {
		return info, nil, false
	}
	if team, isTeam := section.(Team); isTeam && path != kindTeams+"/"+readerTeam {
		team.TokenSHA256 = nil
		section = team
	}
	if organisation, ok := section.(Organisation); ok && !v.Document.maySeeKeys(readerTeam, &organisation) {
		section = organisation.hidden()
	}
	body, err := json.Marshal(section)
	return info, body, err == nil
}

// History returns the kept changes, oldest first.
func (v *View) History() []Change { return v.history }

// DryRun returns the result that the edit would have, without applying it. It ignores the
// edit ID.
func (v *View) DryRun(edit Edit) Result {
	_, result := v.evaluateEdit(edit)
	return result
}

// evaluateEdit returns the document after the edit, or nil when the edit is rejected, and
// the result of the edit.
func (v *View) evaluateEdit(edit Edit) (*Document, Result) {
	next, result := v.tryEdit(edit)
	if next == nil {
		result.Revision = v.Revision
	}
	return next, result
}

// tryEdit evaluates the edit for evaluateEdit. It leaves the revision of a rejected edit's
// result at 0.
func (v *View) tryEdit(edit Edit) (*Document, Result) {
	p, err := parsePath(edit.Section)
	if err != nil {
		return nil, invalidResult(err)
	}
	info, current := v.lookupSection(edit.Section)
	if p.kind == kindRollouts {
		problem := "a rollout is changed by a start request only"
		return nil, Result{Outcome: Forbidden, Version: info.Version, Problem: problem}
	}
	if problem := v.denialReason(edit, p, current); problem != "" {
		return nil, Result{Outcome: Forbidden, Version: info.Version, Problem: problem}
	}
	if edit.Base != info.Version {
		return nil, Result{Outcome: Conflict, Version: info.Version, Problem: "the section has another version"}
	}
	next, err := v.editedDocument(edit, p, current)
	if err != nil {
		result := invalidResult(err)
		result.Version = info.Version
		return nil, result
	}
	return next, Result{Outcome: Accepted, Revision: v.Revision + 1, Version: versionAfter(edit, v.Revision+1)}
}

// versionAfter returns the section's version after an accepted edit that produced the given
// document revision, 0 after a removal. The version is the revision, so that a section that
// is removed and created again never gets a version that it had before.
func versionAfter(edit Edit, revision uint64) uint64 {
	if edit.Remove {
		return 0
	}
	return revision
}

// denialReason returns why the team may not make the edit, or "" when it may. Admin teams
// may create sections, replace limits and teams, and remove any section. The owner of a
// service, route, zone or organisation may replace and remove it.
func (v *View) denialReason(edit Edit, p sectionPath, current any) string {
	team, ok := v.Document.Teams[edit.Team]
	if !ok {
		return "no such team"
	}
	if p.kind == kindLimits || p.kind == kindTeams {
		return problemUnless(team.Admin, "only an admin team edits this section")
	}
	if current == nil {
		return problemUnless(team.Admin, "only an admin team creates sections")
	}
	isOwner := sectionOwner(current) == edit.Team
	if edit.Remove {
		return problemUnless(isOwner || team.Admin, "only its owner or an admin team removes a section")
	}
	return problemUnless(isOwner, "the section belongs to team "+sectionOwner(current))
}

// problemUnless returns problem unless the edit is allowed.
func problemUnless(allowed bool, problem string) string {
	if allowed {
		return ""
	}
	return problem
}

// editedDocument returns the validated document after the edit. current is the section
// before it, nil when it does not exist.
func (v *View) editedDocument(edit Edit, p sectionPath, current any) (*Document, error) {
	if edit.Remove {
		return v.documentWithout(p, current)
	}
	value, err := DecodeSection(edit.Section, edit.Body)
	if err != nil {
		return nil, err
	}
	return v.validated(v.Document.withSection(p, keepKeys(keepTokenDigests(value, current), current)))
}

// keepTokenDigests returns the new section with the token digests of the current one when
// a team edit omits them, since other teams that read the section do not see the digests.
// An empty list removes them.
func keepTokenDigests(value, current any) any {
	nextTeam, isTeam := value.(Team)
	currentTeam, existed := current.(Team)
	if isTeam && existed && nextTeam.TokenSHA256 == nil {
		nextTeam.TokenSHA256 = currentTeam.TokenSHA256
		return nextTeam
	}
	return value
}

// documentWithout returns the validated document without the section at p.
func (v *View) documentWithout(p sectionPath, current any) (*Document, error) {
	if current == nil {
		return nil, &FieldError{p.String(), "no such section"}
	}
	if p.kind == kindLimits {
		return nil, &FieldError{p.String(), "cannot be removed"}
	}
	return v.validated(v.Document.withSection(p, nil))
}

// validated returns next, or an error when it is invalid or would leave no admin team with a
// token.
func (v *View) validated(next *Document) (*Document, error) {
	if err := next.Validate(); err != nil {
		return nil, errors.WithMessage(err, "edit")
	}
	if v.Document.hasAdminWithToken() && !next.hasAdminWithToken() {
		return nil, &FieldError{kindTeams, "an admin team with a token must remain"}
	}
	return next, nil
}

// hasAdminWithToken reports whether any admin team has a token.
func (d *Document) hasAdminWithToken() bool {
	for _, team := range d.Teams {
		if team.Admin && len(team.TokenSHA256) > 0 {
			return true
		}
	}
	return false
}
