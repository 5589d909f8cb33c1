package document

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"strings"

	"github.com/pkg/errors"
)

// MaxSectionBytes bounds the size of one section encoded as JSON.
const MaxSectionBytes = 64 << 10

// Kinds of sections. The kind is the first element of a section's path.
const (
	kindServices = "services"
	kindZones    = "zones"
	kindTeams    = "teams"
	kindRoutes   = "routes"
	kindRollouts = "rollouts"
	kindLimits   = "limits"

	kindOrganisations = "organisations"
)

// sectionProblem describes the valid section paths in error messages.
const sectionProblem = "must be limits, routes/NAME, rollouts/NAME, services/NAME, zones/NAME, teams/NAME or organisations/NAME"

// sectionPath is a parsed section path such as services/drafts or limits. The name is empty
// for limits.
type sectionPath struct {
	kind string
	name string
}

func (p sectionPath) String() string {
	if p.kind == kindLimits {
		return kindLimits
	}
	return p.kind + "/" + p.name
}

// ValidateSectionPath returns a *FieldError when path is not a valid section path.
func ValidateSectionPath(path string) error {
	_, err := parsePath(path)
	return err
}

func parsePath(path string) (sectionPath, error) {
	kind, name, _ := strings.Cut(path, "/")
	switch kind {
	case kindLimits:
		if path != kindLimits {
			return sectionPath{}, &FieldError{"section", "limits has no parts"}
		}
		return sectionPath{kind: kind}, nil
	case kindServices, kindRoutes, kindZones, kindTeams, kindRollouts, kindOrganisations:
		if !namePattern.MatchString(name) {
			return sectionPath{}, &FieldError{"section", nameProblem}
		}
		return sectionPath{kind, name}, nil
	}
	return sectionPath{}, &FieldError{"section", sectionProblem}
}

// DecodeSection decodes the JSON encoding of the section at path and rejects unknown
// fields. The result is a Service, Route, Zone, Team, Organisation or Limits. Errors are of type
// *FieldError with the full path of the field. The content is not validated.
func DecodeSection(path string, body []byte) (any, error) {
	p, err := parsePath(path)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxSectionBytes {
		return nil, &FieldError{path, "section is larger than 64 KiB"}
	}
	switch p.kind {
	case kindServices:
		return decodeStrict[Service](path, body)
	case kindRoutes:
		return decodeStrict[Route](path, body)
	case kindRollouts:
		return decodeStrict[Rollout](path, body)
	case kindZones:
		return decodeStrict[Zone](path, body)
	case kindTeams:
		return decodeStrict[Team](path, body)
	case kindOrganisations:
		return decodeStrict[Organisation](path, body)
	default:
		return decodeLimits(path, body)
	}
}

func decodeStrict[T any](path string, body []byte) (any, error) {
	var value *T
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return nil, decodeError(path, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &FieldError{path, "data after the section"}
	}
	if value == nil {
		return nil, &FieldError{path, "must be an object"}
	}
	return *value, nil
}

// unknownFieldPrefix is the prefix of the error message of encoding/json for an unknown
// field. There is no error type for it.
const unknownFieldPrefix = "json: unknown field "

// decodeError returns err as a *FieldError with the path of the invalid field.
func decodeError(path string, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		field := path
		if wrongType.Field != "" {
			field += "/" + strings.ReplaceAll(wrongType.Field, ".", "/")
		}
		return &FieldError{field, "must be " + wrongType.Type.String() + ", not " + wrongType.Value}
	}
	if name, ok := strings.CutPrefix(err.Error(), unknownFieldPrefix); ok {
		return &FieldError{path + "/" + strings.Trim(name, `"`), "unknown field"}
	}
	return &FieldError{path, err.Error()}
}

// section returns the section at p, which is a Service, Route, Zone, Team, Organisation or
// Limits.
func (d *Document) section(p sectionPath) (value any, ok bool) {
	switch p.kind {
	case kindServices:
		value, ok = lookup(d.Services, p.name)
	case kindRoutes:
		value, ok = lookup(d.Routes, p.name)
	case kindRollouts:
		value, ok = lookup(d.Rollouts, p.name)
	case kindZones:
		value, ok = lookup(d.Zones, p.name)
	case kindTeams:
		value, ok = lookup(d.Teams, p.name)
	case kindOrganisations:
		value, ok = lookup(d.Organisations, p.name)
	case kindLimits:
		value, ok = d.Limits, true
	}
	return value, ok
}

func lookup[V any](m map[string]V, name string) (any, bool) {
	value, ok := m[name]
	return value, ok
}

// withSection returns a copy of the document with the section at p set to value, or removed
// when value is nil. d is unchanged.
func (d *Document) withSection(p sectionPath, value any) *Document {
	next := *d
	switch p.kind {
	case kindServices:
		next.Services = withEntry(d.Services, p.name, value)
	case kindRoutes:
		next.Routes = withEntry(d.Routes, p.name, value)
	case kindRollouts:
		next.Rollouts = withEntry(d.Rollouts, p.name, value)
	case kindZones:
		next.Zones = withEntry(d.Zones, p.name, value)
	case kindTeams:
		next.Teams = withEntry(d.Teams, p.name, value)
	case kindOrganisations:
		next.Organisations = withEntry(d.Organisations, p.name, value)
	case kindLimits:
		next.Limits = value.(Limits)
		next.setDefaults()
	}
	return &next
}

// withEntry returns a copy of m with the entry set to value, or removed when value is nil.
func withEntry[V any](m map[string]V, name string, value any) map[string]V {
	next := maps.Clone(m)
	if next == nil {
		next = map[string]V{}
	}
	if value == nil {
		delete(next, name)
		return next
	}
	next[name] = value.(V)
	return next
}

// sectionPaths returns the sorted paths of all sections.
func (d *Document) sectionPaths() []string {
	paths := []string{kindLimits}
	for _, name := range sortedKeys(d.Organisations) {
		paths = append(paths, kindOrganisations+"/"+name)
	}
	for _, name := range sortedKeys(d.Routes) {
		paths = append(paths, kindRoutes+"/"+name)
	}
	for _, name := range sortedKeys(d.Rollouts) {
		paths = append(paths, kindRollouts+"/"+name)
	}
	for _, name := range sortedKeys(d.Services) {
		paths = append(paths, kindServices+"/"+name)
	}
	for _, name := range sortedKeys(d.Teams) {
		paths = append(paths, kindTeams+"/"+name)
	}
	for _, name := range sortedKeys(d.Zones) {
		paths = append(paths, kindZones+"/"+name)
	}
	return paths
}

// sectionOwner returns the team that may replace the section, or "" when every admin team
// may replace it.
func sectionOwner(section any) string {
	switch s := section.(type) {
	case Service:
		return s.Owner
	case Route:
		return s.Owner
	case Rollout:
		return s.Owner
	case Zone:
		return s.Owner
	case Organisation:
		return s.Owner
	}
	return ""
}

// Redacted returns a copy of the document with the token digests removed from every team
// except the given one, and the keys from every organisation that the team may not see.
func (d *Document) Redacted(team string) *Document {
	next := *d
	next.Teams = make(map[string]Team, len(d.Teams))
	for name, t := range d.Teams {
		if name != team {
			t.TokenSHA256 = nil
		}
		next.Teams[name] = t
	}
	next.Organisations = d.organisationsFor(team)
	return &next
}
