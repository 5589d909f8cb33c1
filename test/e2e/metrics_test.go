package e2e

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/control/api"
)

var (
	servedMetric     = regexp.MustCompile(`(?m)^(chicorylever_[a-z_]+)`)
	documentedMetric = regexp.MustCompile("`(chicorylever_[a-z_]+)`")
	histogramSuffix  = regexp.MustCompile(`_seconds_(bucket|sum|count)$`)
)

// TestMetricsAreDocumented guards against metrics that docs/metrics.md does not list, and
// against listed metrics that no process exports.
func TestMetricsAreDocumented(t *testing.T) {
	m := newControlCluster(t, 1)
	node := m.startNode("seq-a")
	m.startUpstream("drafts", "drafts-1", node)
	waitOK(t, "http://"+node.EntryListen+"/svc/drafts/")
	status, err := m.apiRequest(0, "POST", "/v1/rollouts", `{"service":"drafts","target_version":"2","duration_ms":60000}`, nil, &api.EditBody{})
	assert.NilError(t, statusError(status, err))
	var servedText string
	for _, address := range []string{node.AdminListen, m.memberSettings[0].APIListen} {
		status, text, err := sendRequest("GET", "http://"+address+"/metrics", "")
		assert.NilError(t, statusError(status, err))
		servedText += text
	}
	page, err := os.ReadFile("../../docs/metrics.md")
	assert.NilError(t, err)
	assert.DeepEqual(t, metricNames(documentedMetric, string(page)), metricNames(servedMetric, servedText))
}

// metricNames returns the distinct names in sorted order. The series of a histogram count
// as one name.
func metricNames(pattern *regexp.Regexp, text string) []string {
	var found []string
	for _, match := range pattern.FindAllStringSubmatch(text, -1) {
		found = append(found, histogramSuffix.ReplaceAllString(match[1], "_seconds"))
	}
	slices.Sort(found)
	return slices.Compact(found)
}
