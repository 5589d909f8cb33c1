package node

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// claimCounts returns the numbers of claims, outcomes and releases that control has
// received.
func (c *fakeControl) claimCounts() (claims, recorded, released int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.claims), len(c.recorded), len(c.released)
}

// setClaimResult sets the result of all further claims and discards the earlier requests.
func (c *fakeControl) setClaimResult(state wire.ClaimState, response *wire.RecordedResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claims, c.recorded, c.released = nil, nil, nil
	c.onClaim = func(*wire.Claim) *wire.ClaimResult { return &wire.ClaimResult{State: state, Response: response} }
}

// TestKeyedRequests guards against running a request with an idempotency key without a
// granted claim, and against a response that differs from control's result of the claim.
func TestKeyedRequests(t *testing.T) {
	control, entry, upstreamNode := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Invoice", "7")
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, maxRecordedBytes+1))
			return
		}
		_, _ = io.Copy(w, r.Body)
	})
	post := func(path string) testResponse {
		return send(t, "POST", entry.url(path), strings.NewReader("body"), httpapi.HeaderIdempotencyKey, "key")
	}
	recordedHeader := []*wire.Header{{Name: proto.String("Invoice"), Values: []string{"7"}}}
	cases := []struct {
		state    wire.ClaimState
		response *wire.RecordedResponse
		status   int
		outcome  string
		recorded string
		body     string
	}{
		{state: wire.ClaimState_CLAIM_IN_PROGRESS, status: http.StatusConflict, outcome: httpapi.OutcomeInProgress},
		{state: wire.ClaimState_CLAIM_OUTCOME_UNKNOWN, status: http.StatusConflict, outcome: httpapi.OutcomeUnknown},
		{state: wire.ClaimState_CLAIM_MISMATCH, status: http.StatusUnprocessableEntity, outcome: httpapi.OutcomeNotRun},
		{state: wire.ClaimState_CLAIM_COMPLETED, status: http.StatusCreated, recorded: httpapi.RecordedWhole, body: "earlier",
			response: &wire.RecordedResponse{Status: http.StatusCreated, Headers: recordedHeader, Body: []byte("earlier")}},
		{state: wire.ClaimState_CLAIM_COMPLETED, status: http.StatusCreated, recorded: httpapi.RecordedStatusOnly,
			response: &wire.RecordedResponse{Status: http.StatusCreated, Headers: recordedHeader, Truncated: true}},
	}
	for _, c := range cases {
		control.setClaimResult(c.state, c.response)
		a := post("/p")
		assert.Equal(t, a.StatusCode, c.status, c.state.String())
		assert.Equal(t, a.outcome(), c.outcome)
		assert.Equal(t, a.Header.Get(httpapi.HeaderRecorded), c.recorded)
		if c.recorded != "" {
			assert.Equal(t, a.Header.Get("Invoice"), "7")
			assert.Equal(t, a.body, c.body)
		}
	}
	assert.Equal(t, upstreamNode.requests.Load(), int32(0))

	control.setClaimResult(wire.ClaimState_CLAIM_GRANTED, nil)
	assert.Equal(t, post("/p").body, "body")
	assert.Equal(t, len(post("/large").body), maxRecordedBytes+1)
	eventually(t, func() bool { _, recorded, _ := control.claimCounts(); return recorded == 2 })
	responses := map[bool]*wire.RecordedResponse{}
	for _, outcome := range control.recorded {
		responses[outcome.GetResponse().GetTruncated()] = outcome.GetResponse()
	}
	assert.Equal(t, string(responses[false].GetBody()), "body")
	assert.Equal(t, len(responses[true].GetBody()), 0)
	assert.Assert(t, !slices.Equal(control.claims[0].GetFingerprint(), control.claims[1].GetFingerprint()))
}

// TestClaimsFollowMembers guards against claims that still go to the control members with which
// the node was started after these have been replaced.
func TestClaimsFollowMembers(t *testing.T) {
	control, entry, upstreamNode := startPair(t, func(http.ResponseWriter, *http.Request) {})
	control.update(func() { control.onClaim = func(*wire.Claim) *wire.ClaimResult { return nil } })
	successor := newFakeControl(t)
	successor.setClaimResult(wire.ClaimState_CLAIM_GRANTED, nil)
	reloaded := *upstreamNode.settings
	reloaded.Control = []string{successor.address}
	upstreamNode.Reload(&reloaded)
	a := send(t, "POST", entry.url("/p"), nil, httpapi.HeaderIdempotencyKey, "key", httpapi.HeaderTimeout, "3000")
	assert.Equal(t, a.StatusCode, http.StatusOK, a.outcome())
}

// TestClaimSettled guards against claims that stay granted without a running request: when
// the request was not dispatched, when its outcome is unknown, and when control granted the
// claim but its reply was lost.
func TestClaimSettled(t *testing.T) {
	control, entry, upstreamNode := startPair(t, closeConnection)
	control.setClaimResult(wire.ClaimState_CLAIM_GRANTED, nil)
	post := func() testResponse {
		return send(t, "POST", entry.url("/p"), nil, httpapi.HeaderIdempotencyKey, "key", httpapi.HeaderTimeout, "1500")
	}
	assert.Equal(t, post().outcome(), httpapi.OutcomeUnknown)
	eventually(t, func() bool { _, recorded, _ := control.claimCounts(); return recorded == 1 })
	assert.Assert(t, control.recorded[0].GetResponse() == nil)
	assert.Equal(t, upstreamNode.requests.Load(), int32(1))

	control.setClaimResult(wire.ClaimState_CLAIM_GRANTED, nil)
	upstreamNode.announce(t, "127.0.0.1:1", "1")
	assert.Equal(t, post().outcome(), httpapi.OutcomeNotRun)
	_, _, released := control.claimCounts()
	assert.Equal(t, released, 1, "released before the refusal, so that another attempt finds the key unclaimed")

	control.setClaimResult(wire.ClaimState_CLAIM_GRANTED, nil)
	control.mu.Lock()
	grantClaim := control.onClaim
	control.onClaim = func(*wire.Claim) *wire.ClaimResult { return nil }
	control.mu.Unlock()
	a := post()
	assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, a.outcome(), httpapi.OutcomeNotRun)
	control.mu.Lock()
	control.onClaim = grantClaim
	control.mu.Unlock()
	eventually(t, func() bool { _, _, released := control.claimCounts(); return released == 1 })
	for _, claim := range control.claims {
		assert.DeepEqual(t, claim.GetAttemptId(), control.released[0].GetAttemptId())
	}
	assert.Equal(t, upstreamNode.requests.Load(), int32(1))
}
