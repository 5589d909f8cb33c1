package organisation

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

// TestIndex guards against a key that is found for another organisation, is not found, or is
// found although no organisation has it, in documents of any size.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := &document.Document{Organisations: map[string]document.Organisation{}}
		ownerByKey := map[string]string{}
		for i := range rapid.IntRange(0, 40).Draw(t, "organisations") {
			name := fmt.Sprint("o-", i)
			digests := []document.KeyDigest{}
			for j := range rapid.IntRange(0, 3).Draw(t, "keys") {
				key := fmt.Sprint(name, "-", j)
				ownerByKey[key] = name
				digests = append(digests, document.DigestKey(key))
			}
			doc.Organisations[name] = document.Organisation{Priority: i, KeySHA256: digests}
		}
		x := NewIndex(doc)
		assert.Equal(t, x.IsEmpty(), len(doc.Organisations) == 0)
		for key, owner := range ownerByKey {
			name, ok := x.Authenticate(key)
			assert.Assert(t, ok)
			assert.Equal(t, name, owner)
			_, ok = x.Authenticate(key + "x")
			assert.Assert(t, !ok)
		}
		for name, organisation := range doc.Organisations {
			found, ok := x.Get(name)
			assert.Assert(t, ok && found.Priority == organisation.Priority)
		}
		_, ok := x.Get("none")
		assert.Assert(t, !ok)
	})
	var none *Index
	_, ok := none.Authenticate("")
	assert.Assert(t, none.IsEmpty() && !ok)
}

// TestRank guards against a route that puts a request before one of an organisation with a
// higher priority.
func TestRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		organisations := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 2).Draw(t, "organisations")
		routes := rapid.SliceOfN(rapid.IntRange(0, 5000), 2, 2).Draw(t, "routes")
		first, second := Rank(organisations[0], routes[0]), Rank(organisations[1], routes[1])
		switch {
		case organisations[0] != organisations[1]:
			assert.Equal(t, first < second, organisations[0] < organisations[1])
		case max(routes[0], routes[1]) < routeRanks:
			assert.Equal(t, first < second, routes[0] < routes[1])
		}
	})
}
