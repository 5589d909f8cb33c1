package node

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// setRate gives the organisation acme in the document of a fake control member a rate.
func (c *fakeControl) setRate(t *testing.T, rate float64) {
	doc := &document.Document{}
	assert.NilError(t, json.Unmarshal([]byte(documentWithKeys(t, acmeKey)), doc))
	acme := doc.Organisations["acme"]
	acme.RatePerSecond, acme.Burst = rate, rate
	doc.Organisations["acme"] = acme
	data, err := json.Marshal(doc)
	assert.NilError(t, err)
	c.update(func() { c.document, c.revision = string(data), c.revision+1 })
}

// TestQuotaAtEntry guards against a request over the quota that runs or is answered without
// a time to return, against counting public requests and those of other organisations, and
// against a request that was refused without having run and keeps its credit.
func TestQuotaAtEntry(t *testing.T) {
	control := newFakeControl(t)
	logged := &logRecorder{}
	control.logger = log.NewJSONLogger(logged)
	node := startKeyedNode(t, control, echoHeaders)
	control.setRate(t, 50)
	eventually(t, func() bool { return node.Node.directory.View().Doc.Organisations["acme"].RatePerSecond == 50 })
	grant := func(permille uint32) {
		node.entryQuotas.Apply(time.Now(), &wire.QuotaGrant{ValidMs: 2000, Shares: []*wire.QuotaShare{{Organisation: "acme", AdmitPermille: permille}}})
	}
	grant(0)
	before := node.requests.Load()
	refused := node.sendKeys(t, "r.example", "/private/", acmeKey)
	assert.Equal(t, refused.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, refused.Header.Get(httpapi.HeaderReason), "quota")
	assert.Equal(t, refused.outcome(), httpapi.OutcomeNotRun)
	assert.Assert(t, refused.Header.Get("Retry-After") != "")
	assert.Equal(t, node.requests.Load(), before)
	assert.Equal(t, node.sendKeys(t, "r.example", "/private/", otherKey).StatusCode, http.StatusOK)
	assert.Equal(t, node.sendKeys(t, "r.example", "/public/", acmeKey).StatusCode, http.StatusOK)
	logged.mu.Lock()
	text := logged.data.String()
	logged.mu.Unlock()
	assert.Assert(t, strings.Contains(text, "requests refused over the quota"), text)
	var metrics strings.Builder
	node.entryQuotas.refusals.write(&metrics, 0)
	assert.Assert(t, strings.Contains(metrics.String(), `chicorylever_quota_refusals_total{organisation="acme"} 1`), metrics.String())

	grant(1000)
	assert.Equal(t, node.sendKeys(t, "r.example", "/private/", acmeKey).StatusCode, http.StatusOK)
	node.Node.upstream.gate.Stop()
	assert.Equal(t, node.sendKeys(t, "r.example", "/private/", acmeKey).outcome(), httpapi.OutcomeNotRun)
	node.entryQuotas.meter.Connect(time.Now(), 1<<63)
	use := node.entryQuotas.meter.Report(time.Now()).GetUses()[0]
	assert.Assert(t, use.GetOffered() == 3 && use.GetAdmitted() == 2 && use.GetReturned() == 1, "%v", use)
}
