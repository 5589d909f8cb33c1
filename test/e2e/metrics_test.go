package e2e

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	servedName     = regexp.MustCompile(`(?m)^(chicorylever_[a-z_]+)`)
	documentedName = regexp.MustCompile("`(chicorylever_[a-z_]+)`")
	histogramPart  = regexp.MustCompile(`_seconds_(bucket|sum|count)$`)
)

// TestMetricsAreDocumented guards against metrics that docs/metrics.md does not
// list, and against listed ones that do not exist.
func TestMetricsAreDocumented(t *testing.T) {
	m := newMembers(t, 1)
	node := m.startNode("seq-a")
	m.startUpstream("drafts", "drafts-1", node)
	eventually(t, func() error {
		status, _, err := call("GET", "http://"+node.EntryListen+"/svc/drafts/", "")
		return check(status, err)
	})
	var served []string
	for _, address := range []string{node.AdminListen, m.settings[0].APIListen} {
		status, text, err := call("GET", "http://"+address+"/metrics", "")
		assert.NilError(t, check(status, err))
		served = append(served, names(servedName, text)...)
	}
	page, err := os.ReadFile("../../docs/metrics.md")
	assert.NilError(t, err)
	assert.DeepEqual(t, names(documentedName, string(page)), unique(served))
}

func names(pattern *regexp.Regexp, text string) []string {
	var found []string
	for _, match := range pattern.FindAllStringSubmatch(text, -1) {
		found = append(found, histogramPart.ReplaceAllString(match[1], "_seconds"))
	}
	return unique(found)
}

func unique(list []string) []string {
	list = slices.Clone(list)
	slices.Sort(list)
	return slices.Compact(list)
}
