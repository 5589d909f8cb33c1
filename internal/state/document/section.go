package document

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"strings"

	"github.com/pkg/errors"
)

// MaxSectionBytes bounds the JSON form of one section.
const MaxSectionBytes = 64 << 10

// The kinds of sections, the first element of a section's path.
const (
	kindServices = "services"
	kindZones    = "zones"
	kindTeams    = "teams"
	kindRoutes   = "routes"
	kindLimits   = "limits"
)

// sectionPath is a parsed path such as services/drafts or limits.
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

// CheckPath returns a *FieldError when the path cannot name a section.
func CheckPath(path string) error {
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
	case kindServices, kindRoutes, kindZones, kindTeams:
		if !namePattern.MatchString(name) {
			return sectionPath{}, &FieldError{"section", nameProblem}
		}
		return sectionPath{kind, name}, nil
	}
	return sectionPath{}, &FieldError{"section", "must be limits, routes/NAME, services/NAME, zones/NAME or teams/NAME"}
}

// DecodeSection decodes the JSON form of the section at path strictly. The
// result is a Service, Route, Zone, Team or Limits. Errors are of type *FieldError and
// carry the whole path of the field. Rules across sections are not checked.
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
	case kindZones:
		return decodeStrict[Zone](path, body)
	case kindTeams:
		return decodeStrict[Team](path, body)
	default:
		return decodeStrict[Limits](path, body)
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

// unknownFieldPrefix begins the message of encoding/json for an unknown field,
// which has no error type.
const unknownFieldPrefix = "json: unknown field "

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

// section returns the section at p: a Service, Route, Zone, Team or Limits.
func (d *Document) section(p sectionPath) (value any, ok bool) {
	switch p.kind {
	case kindServices:
		value, ok = lookup(d.Services, p.name)
	case kindRoutes:
		value, ok = lookup(d.Routes, p.name)
	case kindZones:
		value, ok = lookup(d.Zones, p.name)
	case kindTeams:
		value, ok = lookup(d.Teams, p.name)
	case kindLimits:
		value, ok = d.Limits, true
	}
	return value, ok
}

func lookup[V any](m map[string]V, name string) (any, bool) {
	value, ok := m[name]
	return value, ok
}

// with returns a copy of the document with the section replaced; d is unchanged.
// A nil value removes the section.
func (d *Document) with(p sectionPath, value any) *Document {
	next := *d
	switch p.kind {
	case kindServices:
		next.Services = withEntry(d.Services, p.name, value)
	case kindRoutes:
		next.Routes = withEntry(d.Routes, p.name, value)
	case kindZones:
		next.Zones = withEntry(d.Zones, p.name, value)
	case kindTeams:
		next.Teams = withEntry(d.Teams, p.name, value)
	case kindLimits:
		next.Limits = value.(Limits)
		next.setDefaults()
	}
	return &next
}

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

// paths returns the paths of all sections in order.
func (d *Document) paths() []string {
	paths := []string{kindLimits}
	for _, name := range sortedKeys(d.Routes) {
		paths = append(paths, kindRoutes+"/"+name)
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

// owner returns the team that may replace the section, or "" for a section that
// every admin team may replace.
func owner(section any) string {
	switch s := section.(type) {
	case Service:
		return s.Owner
	case Route:
		return s.Owner
	case Zone:
		return s.Owner
	}
	return ""
}

// Redacted returns a copy without the token digests of every team but the named one.
func (d *Document) Redacted(team string) *Document {
	next := *d
	next.Teams = make(map[string]Team, len(d.Teams))
	for name, t := range d.Teams {
		if name != team {
			t.TokenSHA256 = nil
		}
		next.Teams[name] = t
	}
	return &next
}
