// Package organisation finds the organisation of a caller's key and ranks its requests. It
// is deterministic and does no I/O.
package organisation

import (
	"bytes"
	"slices"
	"strings"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

// routeRanks is the number of ranks within one priority of organisations.
const routeRanks = 1000

// Index finds organisations by key and by name. It is immutable and safe for concurrent use.
// A nil Index has no organisations.
type Index struct {
	organisations map[string]document.Organisation
	// names holds the names of the organisations in ascending order.
	names []string
	// keys is sorted by digest. A sorted slice needs 36 bytes for each key, about half of a
	// map.
	keys []keyEntry
}

// keyEntry is the digest of a key and the position of its organisation in Index.names.
type keyEntry struct {
	digest       document.KeyDigest
	organisation uint32
}

// NewIndex returns the index of a document as nodes receive it, with the digests of the
// keys. It keeps the document's organisations, which must not be modified later.
func NewIndex(doc *document.Document) *Index {
	x := &Index{organisations: doc.Organisations, names: make([]string, 0, len(doc.Organisations))}
	keyCount := 0
	for name, organisation := range doc.Organisations {
		x.names = append(x.names, name)
		keyCount += len(organisation.KeySHA256)
	}
	slices.SortFunc(x.names, strings.Compare)
	x.keys = make([]keyEntry, 0, keyCount)
	for i, name := range x.names {
		for _, digest := range doc.Organisations[name].KeySHA256 {
			x.keys = append(x.keys, keyEntry{digest, uint32(i)}) //nolint:gosec // far fewer than 2^32
		}
	}
	slices.SortFunc(x.keys, func(a, b keyEntry) int { return bytes.Compare(a.digest[:], b.digest[:]) })
	return x
}

// IsEmpty reports whether there are no organisations.
func (x *Index) IsEmpty() bool { return x == nil || len(x.organisations) == 0 }

// Authenticate returns the name of the organisation that the key belongs to. It compares
// digests: the time that it takes depends on the digest of the key, from which nothing of a
// valid key can be derived.
func (x *Index) Authenticate(key string) (name string, ok bool) {
	return x.AuthenticateDigest(document.DigestKey(key))
}

// AuthenticateDigest returns the name of the organisation that a key with the digest belongs
// to.
func (x *Index) AuthenticateDigest(digest document.KeyDigest) (name string, ok bool) {
	if x == nil {
		return "", false
	}
	i, found := slices.BinarySearchFunc(x.keys, digest, func(entry keyEntry, want document.KeyDigest) int {
		return bytes.Compare(entry.digest[:], want[:])
	})
	if !found {
		return "", false
	}
	return x.names[x.keys[i].organisation], true
}

// Get returns the organisation with the name.
func (x *Index) Get(name string) (document.Organisation, bool) {
	if x == nil {
		return document.Organisation{}, false
	}
	organisation, ok := x.organisations[name]
	return organisation, ok
}

// Rank returns the priority of a request under overload: the priority of the organisation
// decides, and among equal ones that of the route. 0 is the highest.
func Rank(organisationPriority, routePriority int) int {
	return organisationPriority*routeRanks + min(routePriority, routeRanks-1)
}
