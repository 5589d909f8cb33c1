package e2e

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/control/api"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

const (
	quotaTestKey  = "key-of-acme"
	quotaTestRate = 10
	quotaWindow   = 5 * time.Second
)

// TestQuotaOverAllNodes guards against an organisation that sends 4.7 times its rate through
// three nodes and gets more than the bound in some window, also while the leader is lost, and
// against one that is refused at half of its rate.
func TestQuotaOverAllNodes(t *testing.T) {
	m := newControlCluster(t, 3)
	var entries []string
	for _, zone := range []string{"seq-a", "seq-b", "seq-c"} {
		node := m.startNode(zone)
		m.startUpstream("drafts", "drafts-"+zone, node)
		entries = append(entries, "http://"+node.EntryListen+"/svc/drafts/")
	}
	waitOK(t, entries[0])
	body := `{"owner": "platform", "keys": ["` + quotaTestKey + `"], "rate_per_second": 10, "burst": 10}`
	header := map[string]string{"If-Match": `"0"`, "Edit-Id": "acme"}
	var result api.EditBody
	status, err := m.apiRequest(0, http.MethodPut, "/v1/sections/organisations/acme", body, header, &result)
	assert.NilError(t, statusError(status, err))
	for _, entry := range entries {
		eventually(t, func() error { return statusError(sendWithKey(entry)) })
	}

	time.Sleep(quotaWindow)
	statuses, _ := m.sendAtRate(entries, quotaTestRate/2, 4*time.Second, nil)
	assert.Assert(t, !slices.Contains(statuses, http.StatusTooManyRequests), "%v", statuses)

	killed := false
	statuses, admitted := m.sendAtRate(entries, 47, 9*time.Second, func(elapsed time.Duration) {
		if !killed && elapsed > 4*time.Second {
			m.killMember(m.leader())
			killed = true
		}
	})
	assert.Assert(t, slices.Contains(statuses, http.StatusTooManyRequests))
	for i, from := range admitted {
		count := 0
		for _, at := range admitted[i:] {
			if at.Sub(from) < quotaWindow {
				count++
			}
		}
		assert.Assert(t, count <= 86, "%d requests in a window of 5 s", count)
	}
	t.Logf("%d sent, %d admitted", len(statuses), len(admitted))
}

func sendWithKey(url string) (int, error) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		return 0, err
	}
	request.Header.Set(httpapi.HeaderAPIKey, quotaTestKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// sendAtRate sends requests one after another to the entries in turn. It returns their
// statuses and when the admitted ones were answered.
func (m *controlCluster) sendAtRate(entries []string, perSecond int, duration time.Duration, between func(time.Duration)) (statuses []int, admitted []time.Time) {
	started := time.Now()
	for i := 0; ; i++ {
		due := started.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		if due.Sub(started) >= duration {
			return statuses, admitted
		}
		time.Sleep(time.Until(due))
		status, err := sendWithKey(entries[i%len(entries)])
		assert.NilError(m.t, err)
		statuses = append(statuses, status)
		if status == http.StatusOK {
			admitted = append(admitted, time.Now())
		}
		if between != nil {
			between(time.Since(started))
		}
	}
}
