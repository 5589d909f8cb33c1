package document

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"slices"
	"strconv"
)

const (
	// maxKeyBytes bounds the length of a key.
	maxKeyBytes = 256
	// maxOrganisationPriority bounds the priority of an organisation.
	maxOrganisationPriority = 100
)

// Organisation is a set of callers that share keys, a priority and a quota.
type Organisation struct {
	Owner string `json:"owner"`
	// Keys identify the requests of the organisation. An edit that omits them keeps them; an
	// empty list removes them. Nodes receive KeySHA256 in their place.
	Keys []string `json:"keys,omitempty"`
	// KeySHA256 holds the SHA-256 digest of each key in the document that nodes receive. It
	// is invalid in the document of operators.
	KeySHA256 []KeyDigest `json:"key_sha256,omitempty"`
	// Priority orders the requests of organisations under overload; 0 is the highest
	// priority. It takes precedence over the priority of the route.
	Priority int `json:"priority,omitempty"`
	// RatePerSecond bounds the requests per second over all nodes, 0 for no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// Burst is the number of requests that may exceed RatePerSecond at once.
	Burst float64 `json:"burst,omitempty"`
	// Labels are stored for operators' tools and not interpreted.
	Labels map[string]string `json:"labels,omitempty"`
}

// KeyDigest is the SHA-256 digest of a key. Its text form is hexadecimal.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText returns the digest in hexadecimal.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(make([]byte, 0, 2*len(d)), d[:]), nil
}

// UnmarshalText decodes a digest in hexadecimal. It returns ErrInvalid for other text.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != 2*len(d) {
		return ErrInvalid
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return ErrInvalid
	}
	return nil
}

// validate checks all fields but the owner and the keys of other organisations, which need
// the document. No error contains a key.
func (o *Organisation) validate(path string) error {
	switch {
	case len(o.KeySHA256) > 0:
		return &FieldError{path + "/key_sha256", "is set for nodes only; set keys"}
	case o.Priority < 0 || o.Priority > maxOrganisationPriority:
		return &FieldError{path + "/priority", "must be between 0 and " + strconv.Itoa(maxOrganisationPriority)}
	case !isRequestRate(o.RatePerSecond):
		return &FieldError{path + "/rate_per_second", "must be a number of at least 0"}
	case !isRequestRate(o.Burst):
		return &FieldError{path + "/burst", "must be a number of at least 0"}
	}
	return o.validateKeys(path + "/keys")
}

func (o *Organisation) validateKeys(path string) error {
	for i, key := range o.Keys {
		field := path + "/" + strconv.Itoa(i)
		switch {
		case key == "":
			return &FieldError{field, "must not be empty"}
		case len(key) > maxKeyBytes:
			return &FieldError{field, "must have at most " + strconv.Itoa(maxKeyBytes) + " bytes"}
		case slices.Contains(o.Keys[:i], key):
			return &FieldError{field, "repeats an earlier key"}
		}
	}
	return nil
}

// isRequestRate reports whether a rate or burst is a finite number of at least 0.
func isRequestRate(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// validateOrganisations checks all organisations and that no key belongs to two of them.
func (d *Document) validateOrganisations() error {
	ownerByKey := map[string]string{}
	for _, name := range sortedKeys(d.Organisations) {
		organisation := d.Organisations[name]
		path := kindOrganisations + "/" + name
		if !namePattern.MatchString(name) {
			return &FieldError{path, nameProblem}
		}
		if err := d.validateOwner(path, organisation.Owner); err != nil {
			return err
		}
		if err := organisation.validate(path); err != nil {
			return err
		}
		for i, key := range organisation.Keys {
			if other, taken := ownerByKey[key]; taken {
				return &FieldError{path + "/keys/" + strconv.Itoa(i), "key belongs to organisation " + other}
			}
			ownerByKey[key] = name
		}
	}
	return nil
}

// digested returns the organisation as nodes receive it: with digests in place of the keys
// and without labels.
func (o Organisation) digested() Organisation {
	for _, key := range o.Keys {
		o.KeySHA256 = append(o.KeySHA256, DigestKey(key))
	}
	o.Keys, o.Labels = nil, nil
	return o
}

// keepKeys returns the new section with the keys of the current one when the edit of an
// organisation omits them, since other teams that read the section do not see the keys.
func keepKeys(value, current any) any {
	next, isOrganisation := value.(Organisation)
	previous, existed := current.(Organisation)
	if isOrganisation && existed && next.Keys == nil {
		next.Keys = previous.Keys
		return next
	}
	return value
}

// ForNodes returns a copy of the document as nodes receive it: without token digests, and
// with the digests of the organisations' keys in place of the keys.
func (d *Document) ForNodes() *Document {
	next := d.Redacted("")
	if len(d.Organisations) == 0 {
		return next
	}
	next.Organisations = make(map[string]Organisation, len(d.Organisations))
	for name, organisation := range d.Organisations {
		next.Organisations[name] = organisation.digested()
	}
	return next
}

// maySeeKeys reports whether the team may see the keys of the organisation: its owner and
// admin teams may.
func (d *Document) maySeeKeys(team string, o *Organisation) bool {
	return team != "" && (team == o.Owner || d.Teams[team].Admin)
}

// hidden returns the organisation without what other teams may not see. Labels may hold
// fields of operators' tools that this version does not know, keys among them.
func (o Organisation) hidden() Organisation {
	o.Keys, o.Labels = nil, nil
	return o
}

// organisationsFor returns the organisations, without the keys that the team may not see.
func (d *Document) organisationsFor(team string) map[string]Organisation {
	if len(d.Organisations) == 0 {
		return nil
	}
	visible := make(map[string]Organisation, len(d.Organisations))
	for name, organisation := range d.Organisations {
		if !d.maySeeKeys(team, &organisation) {
			organisation = organisation.hidden()
		}
		visible[name] = organisation
	}
	return visible
}
