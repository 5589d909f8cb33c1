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
	waitAnswered(t, "http://"+node.EntryListen+"/svc/drafts/")
	var served string
	for _, address := range []string{node.AdminListen, m.settings[0].APIListen} {
		status, text, err := call("GET", "http://"+address+"/metrics", "")
		assert.NilError(t, check(status, err))
		served += text
	}
	page, err := os.ReadFile("../../docs/metrics.md")
	assert.NilError(t, err)
	assert.DeepEqual(t, names(documentedName, string(page)), names(servedName, served))
}

func names(pattern *regexp.Regexp, text string) []string {
	var found []string
	for _, match := range pattern.FindAllStringSubmatch(text, -1) {
		found = append(found, histogramPart.ReplaceAllString(match[1], "_seconds"))
	}
	slices.Sort(found)
	return slices.Compact(found)
}
