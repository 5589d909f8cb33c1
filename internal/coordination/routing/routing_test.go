package routing

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

func documentRoute(host, prefix string, backends ...document.Backend) document.Route {
	return document.Route{Host: host, PathPrefix: prefix, Backends: backends}
}

// TestMatch guards against matching a shorter prefix than the longest, a route of another
// host, or a route whose prefix does not begin the path, such as /x/ for the path /x.
func TestMatch(t *testing.T) {
	table := NewTable(map[string]document.Route{
		"short": documentRoute("A.example", "/x/"),
		"long":  documentRoute("a.example", "/x/y/"),
		"root":  documentRoute("b.example", "/"),
	})
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example:8080", "/x/1", "short"},
		{"A.EXAMPLE", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"b.example", "/x/1", "root"},
		{"c.example", "/x/1", ""},
		{"", "/x/1", ""},
	}
	for _, c := range cases {
		got := ""
		if found := table.Match(c.host, c.path); found != nil {
			got = found.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
	assert.Assert(t, (*Table)(nil).Match("a.example", "/x/1") == nil)
	assert.Assert(t, NewTable(nil).IsEmpty())
	assert.Assert(t, !table.IsEmpty())
}

// TestSplitMatchesWeights guards against shares that deviate from the weights over a few
// requests, and against many entry nodes that all begin with the same service.
func TestSplitMatchesWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.IntRange(1, 99).Draw(t, "weight")
		count := rapid.IntRange(20, 200).Draw(t, "requests")
		table := NewTable(map[string]document.Route{"r": documentRoute("a", "/",
			document.Backend{Service: "s", Weight: weight}, document.Backend{Service: "u", Weight: 100 - weight})})
		splitter := NewSplitter(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		chosen := 0
		for range count {
			if splitter.Choose(table.Match("a", "/")) == "s" {
				chosen++
			}
		}
		want := float64(count) * float64(weight) / 100
		assert.Assert(t, float64(chosen) > want-2 && float64(chosen) < want+2, "service s got %d of %d requests at weight %d", chosen, count, weight)
	})
	table := NewTable(map[string]document.Route{"r": documentRoute("a", "/",
		document.Backend{Service: "s", Weight: 50}, document.Backend{Service: "u", Weight: 50})})
	firstChoices := map[string]int{}
	for seed := range uint64(100) {
		firstChoices[NewSplitter(rand.New(rand.NewPCG(seed, 1))).Choose(table.Match("a", "/"))]++
	}
	assert.Assert(t, firstChoices["s"] > 20 && firstChoices["u"] > 20, "first choices: %v", firstChoices)
}

// TestSplitUsesChangedWeights guards against using the weights of an earlier revision of
// the route.
func TestSplitUsesChangedWeights(t *testing.T) {
	splitter := NewSplitter(rand.New(rand.NewPCG(1, 2)))
	tableWithWeight := func(weight int) *Table {
		return NewTable(map[string]document.Route{"r": documentRoute("a", "/",
			document.Backend{Service: "s", Weight: weight}, document.Backend{Service: "u", Weight: 1})})
	}
	before := tableWithWeight(1)
	for range 10 {
		splitter.Choose(before.Match("a", "/"))
	}
	after := tableWithWeight(0)
	for range 10 {
		assert.Equal(t, splitter.Choose(after.Match("a", "/")), "u")
	}
}

// TestPeek guards against a peek that differs from the next choice or changes it.
func TestPeek(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 9), 1, 4).Draw(t, "weights")
		route := &Route{Name: "r"}
		for i, weight := range weights {
			route.Backends = append(route.Backends, document.Backend{Service: string(rune('a' + i)), Weight: weight})
			route.totalWeight += weight
		}
		peeked, plain := NewSplitter(rand.New(rand.NewPCG(1, 2))), NewSplitter(rand.New(rand.NewPCG(1, 2)))
		assert.Equal(t, peeked.Choose(route), plain.Choose(route))
		for range 20 {
			next := peeked.Peek(route)
			assert.Equal(t, peeked.Choose(route), next)
			assert.Equal(t, plain.Choose(route), next)
		}
	})
}
