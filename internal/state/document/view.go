package document

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// View is one state of the document. It never changes, so any goroutine may read
// it; its maps must not be modified.
type View struct {
	// Revision is 0 while there is no document.
	Revision uint64
	// Document is never nil.
	Document *Document

	versions map[string]uint64
	// items holds the versions of sections that items have set or removed.
	items    map[string]itemVersion
	history  []Change
	replaced chan struct{}
}

// SectionInfo describes a section without its content.
type SectionInfo struct {
	Path string `json:"path"`
	// Owner is empty for sections that every admin team may replace.
	Owner   string `json:"owner,omitempty"`
	Version uint64 `json:"version"`
}

func newView() *View {
	return &View{Document: &Document{}, versions: map[string]uint64{}, replaced: make(chan struct{})}
}

// Replaced is closed when the machine has a newer view.
func (v *View) Replaced() <-chan struct{} { return v.replaced }

// Sections describes all sections in order of their paths.
func (v *View) Sections() []SectionInfo {
	infos := []SectionInfo{}
	if v.Revision == 0 {
		return infos
	}
	for _, path := range v.Document.paths() {
		info, _ := v.info(path)
		infos = append(infos, info)
	}
	return infos
}

func (v *View) info(path string) (SectionInfo, any) {
	p, err := parsePath(path)
	if err != nil || v.Revision == 0 {
		return SectionInfo{}, nil
	}
	section, ok := v.Document.section(p)
	if !ok {
		return SectionInfo{}, nil
	}
	return SectionInfo{path, owner(section), v.versions[path]}, section
}

// Section returns the description and JSON form of a section. The token digests
// of a team other than reader are left out. ok is false when there is no such section.
func (v *View) Section(path, reader string) (info SectionInfo, body []byte, ok bool) {
	info, section := v.info(path)
	if section == nil {
		return info, nil, false
	}
	if team, isTeam := section.(Team); isTeam && path != kindTeams+"/"+reader {
		team.TokenSHA256 = nil
		section = team
	}
	body, err := json.Marshal(section)
	return info, body, err == nil
}

// History returns the latest changes, oldest first.
func (v *View) History() []Change { return v.history }

// DryRun returns the result that the edit would have. It changes nothing and
// doesn't look at edit IDs.
func (v *View) DryRun(edit Edit) Result {
	_, result := v.evaluate(edit)
	return result
}

// evaluate returns the document after the edit, or nil when the edit is refused.
func (v *View) evaluate(edit Edit) (*Document, Result) {
	next, result := v.attempt(edit)
	if next == nil {
		result.Revision = v.Revision
	}
	return next, result
}

func (v *View) attempt(edit Edit) (*Document, Result) {
	p, err := parsePath(edit.Section)
	if err != nil {
		return nil, invalid(err)
	}
	info, current := v.info(edit.Section)
	if problem := v.forbidden(edit, p, current); problem != "" {
		return nil, Result{Outcome: Forbidden, Version: info.Version, Problem: problem}
	}
	if edit.Base != info.Version {
		return nil, Result{Outcome: Conflict, Version: info.Version, Problem: "the section has another version"}
	}
	next, err := v.edited(edit, p, current)
	if err != nil {
		result := invalid(err)
		result.Version = info.Version
		return nil, result
	}
	return next, Result{Outcome: Accepted, Revision: v.Revision + 1, Version: editedVersion(edit, v.Revision+1)}
}

// editedVersion is the revision that an edit made: a section that is removed and
// created again never returns to a version that it had before.
func editedVersion(edit Edit, revision uint64) uint64 {
	if edit.Remove {
		return 0
	}
	return revision
}

// forbidden returns why the team may not make the edit, or "". Admin teams create
// sections, replace limits and teams, and remove any section. Services and zones
// are replaced by their owner, who may also remove them.
func (v *View) forbidden(edit Edit, p sectionPath, current any) string {
	team, ok := v.Document.Teams[edit.Team]
	if !ok {
		return "no such team"
	}
	if p.kind == kindLimits || p.kind == kindTeams {
		return unless(team.Admin, "only an admin team edits this section")
	}
	if current == nil {
		return unless(team.Admin, "only an admin team creates sections")
	}
	isOwner := owner(current) == edit.Team
	if edit.Remove {
		return unless(isOwner || team.Admin, "only its owner or an admin team removes a section")
	}
	return unless(isOwner, "the section belongs to team "+owner(current))
}

func unless(allowed bool, problem string) string {
	if allowed {
		return ""
	}
	return problem
}

func (v *View) edited(edit Edit, p sectionPath, current any) (*Document, error) {
	if edit.Remove {
		return v.removed(p, current)
	}
	value, err := DecodeSection(edit.Section, edit.Body)
	if err != nil {
		return nil, err
	}
	return v.checked(v.Document.with(p, keepTokens(value, current)))
}

// keepTokens keeps a team's digests when the edit leaves them out, since another
// team that reads the section does not see them. An empty list removes them.
func keepTokens(value, current any) any {
	next, isTeam := value.(Team)
	former, existed := current.(Team)
	if isTeam && existed && next.TokenSHA256 == nil {
		next.TokenSHA256 = former.TokenSHA256
		return next
	}
	return value
}

func (v *View) removed(p sectionPath, current any) (*Document, error) {
	if current == nil {
		return nil, &FieldError{p.String(), "no such section"}
	}
	if p.kind == kindLimits {
		return nil, &FieldError{p.String(), "cannot be removed"}
	}
	return v.checked(v.Document.with(p, nil))
}

func (v *View) checked(next *Document) (*Document, error) {
	if err := next.Validate(); err != nil {
		return nil, errors.WithMessage(err, "edit")
	}
	if v.Document.hasAdmin() && !next.hasAdmin() {
		return nil, &FieldError{kindTeams, "an admin team with a token must remain"}
	}
	return next, nil
}

func (d *Document) hasAdmin() bool {
	for _, team := range d.Teams {
		if team.Admin && len(team.TokenSHA256) > 0 {
			return true
		}
	}
	return false
}
