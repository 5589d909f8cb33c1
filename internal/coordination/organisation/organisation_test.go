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
	var none *Index
	_, ok := none.Authenticate("")
	assert.Assert(t, none.IsEmpty() && !ok)
	rapid.Check(t, func(t *rapid.T) {
		doc := &document.Document{Organisations: map[string]document.Organisation{}}
		ownerByKey := map[string]string{}
		for i := range rapid.IntRange(0, 40).Draw(t, "organisations") {
			organisation := document.Organisation{Priority: i}
			for j := range rapid.IntRange(0, 3).Draw(t, "keys") {
				key := fmt.Sprint("o-", i, "-", j)
				ownerByKey[key] = fmt.Sprint("o-", i)
				organisation.KeySHA256 = append(organisation.KeySHA256, document.DigestKey(key))
			}
			doc.Organisations[fmt.Sprint("o-", i)] = organisation
		}
		x := NewIndex(doc)
		for key, owner := range ownerByKey {
			name, ok := x.Authenticate(key)
			found, _ := x.Get(name)
			assert.Assert(t, ok && name == owner && found.Priority == doc.Organisations[owner].Priority)
			_, ok = x.Authenticate(key + "x")
			assert.Assert(t, !ok)
		}
	})
}

// TestRank guards against a route that puts a request before one of an organisation with a
// higher priority.
func TestRank(t *testing.T) {
	ranks := []int{Rank(0, 0), Rank(0, 1), Rank(0, 5000), Rank(1, 0), Rank(1, 2), Rank(100, 0), Rank(100, 5000)}
	for i := range len(ranks) - 1 {
		assert.Assert(t, ranks[i] < ranks[i+1], "%v", ranks)
	}
}
