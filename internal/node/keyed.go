package node

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/node/egress"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// claimTimeout bounds the wait for a claim while a permit is held.
	claimTimeout = 2 * time.Second
	// releaseTimeout bounds the wait for the release of a claim before a refusal.
	releaseTimeout = 500 * time.Millisecond
	// maxRecordedBytes is the largest response body that is recorded.
	maxRecordedBytes = 16 << 10
	// settleRetryInterval is the wait before the outcome or release of a claim is reported
	// to control again.
	settleRetryInterval = 200 * time.Millisecond
	// maxUnsettledClaims bounds the claims whose outcome or release control has not
	// acknowledged. Beyond it requests with an idempotency key are refused.
	maxUnsettledClaims = 4096
)

// grantedClaim is a claim that control has granted to an attempt.
type grantedClaim struct {
	service   string
	key       string
	attemptID []byte
	nodeID    string
}

// claimSettler reports the outcomes and releases of claims to control, in the background
// and until control has acknowledged them. The semaphore is acquired before each claim, so
// that the number of unsettled claims is bounded.
type claimSettler struct {
	claimer   Claimer
	semaphore chan struct{}
	ctx       context.Context
	stop      context.CancelFunc
	settling  sync.WaitGroup
}

func newClaimSettler(claimer Claimer) *claimSettler {
	ctx, stop := context.WithCancel(context.Background())
	return &claimSettler{claimer: claimer, semaphore: make(chan struct{}, maxUnsettledClaims), ctx: ctx, stop: stop}
}

// tryAcquire reserves room for one claim. It returns false when there are already
// maxUnsettledClaims.
func (s *claimSettler) tryAcquire() bool {
	select {
	case s.semaphore <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *claimSettler) release() { <-s.semaphore }

// settle repeats an action until it succeeds or the node stops, then releases the
// semaphore.
func (s *claimSettler) settle(action func(ctx context.Context) error) {
	s.settling.Go(func() {
		defer s.release()
		for action(s.ctx) != nil && sleep(s.ctx, settleRetryInterval) {
			continue
		}
	})
}

// close waits until control has acknowledged all pending reports, at most until ctx ends.
func (s *claimSettler) close(ctx context.Context) {
	defer context.AfterFunc(ctx, s.stop)()
	s.settling.Wait()
	s.stop()
}

// acquireClaim claims the idempotency key of a request. It returns nil when the request
// may run, and otherwise a function that responds to it or refuses it.
func (r *receivedAttempt) acquireClaim(ctx context.Context) (respond func()) {
	key := r.head.GetIdempotencyKey()
	if key == "" {
		return nil
	}
	settler := r.node.settler
	if !settler.tryAcquire() {
		return func() { r.refuse(wire.RefusalReason_REFUSAL_CLAIM_UNAVAILABLE, "too many claims are being settled") }
	}
	claim := &wire.Claim{
		Service:     r.head.GetService(),
		Key:         key,
		Fingerprint: r.fingerprint(),
		AttemptId:   r.id,
		NodeId:      r.node.settings.ID,
	}
	granted := &grantedClaim{service: claim.GetService(), key: key, attemptID: r.id, nodeID: claim.GetNodeId()}
	// The claim times out after 3/4 of the remaining time at the latest, so that "not run"
	// reaches the entry node before the deadline.
	claimCtx, cancel := context.WithTimeout(ctx, min(claimTimeout, time.Until(r.deadline)*3/4))
	defer cancel()
	result, err := settler.claimer.Claim(claimCtx, claim)
	if err != nil {
		// The claim may have been granted, or may still be. It is requested again until
		// the result is known, and then released.
		settler.settle(func(ctx context.Context) error { return resolveClaim(ctx, settler.claimer, claim, granted) })
		return func() { r.refuse(wire.RefusalReason_REFUSAL_CLAIM_UNAVAILABLE, "") }
	}
	if result.GetState() == wire.ClaimState_CLAIM_GRANTED {
		r.claim = granted
		return nil
	}
	settler.release()
	return func() { r.answerClaimResult(result) }
}

// resolveClaim determines whether a claim was granted and releases it in that case. The
// request was not dispatched.
func resolveClaim(ctx context.Context, claimer Claimer, claim *wire.Claim, granted *grantedClaim) error {
	result, err := claimer.Claim(ctx, claim)
	if err != nil || result.GetState() != wire.ClaimState_CLAIM_GRANTED {
		return err
	}
	return granted.release(ctx, claimer)
}

func (g *grantedClaim) release(ctx context.Context, claimer Claimer) error {
	return claimer.Release(ctx, &wire.ReleaseClaim{Service: g.service, Key: g.key, AttemptId: g.attemptID, NodeId: g.nodeID})
}

// releaseNow releases the claim before the attempt is refused, because another attempt may
// follow immediately and must find the key unclaimed. It returns false when the release
// failed or timed out.
func (g *grantedClaim) releaseNow(s *claimSettler) bool {
	ctx, cancel := context.WithTimeout(s.ctx, releaseTimeout)
	defer cancel()
	if g.release(ctx, s.claimer) != nil {
		return false
	}
	s.release()
	return true
}

// answerClaimResult responds to an attempt whose key is claimed by another attempt: with
// the recorded response or a refusal.
func (r *receivedAttempt) answerClaimResult(result *wire.ClaimResult) {
	switch result.GetState() {
	case wire.ClaimState_CLAIM_COMPLETED:
		r.sendRecordedResponse(result.GetResponse())
	case wire.ClaimState_CLAIM_IN_PROGRESS:
		r.refuse(wire.RefusalReason_REFUSAL_CLAIM_IN_PROGRESS, "")
	case wire.ClaimState_CLAIM_MISMATCH:
		r.refuse(wire.RefusalReason_REFUSAL_KEY_MISMATCH, "")
	default:
		r.refuse(wire.RefusalReason_REFUSAL_CLAIM_UNKNOWN, "")
	}
}

func (r *receivedAttempt) sendRecordedResponse(response *wire.RecordedResponse) {
	recorded := httpapi.RecordedWhole
	if response.GetTruncated() {
		recorded = httpapi.RecordedStatusOnly
	}
	headers := []*wire.Header{{Name: proto.String(httpapi.HeaderRecorded), Values: []string{recorded}}}
	for _, header := range response.GetHeaders() {
		if !response.GetTruncated() || header.GetName() != "Content-Length" {
			headers = append(headers, header)
		}
	}
	body := response.GetBody()
	_ = r.stream.Send(responseHead(&wire.ResponseHead{Status: response.GetStatus(), Headers: headers, Recorded: true}))
	if len(body) > 0 {
		_ = r.stream.Send(bodyChunk(body))
	}
	r.sendLast(responseEnd(&wire.ResponseEnd{ByteCount: uint64(len(body)), Load: r.node.upstream.loadReport()}))
}

// settleClaim ends the claim: with the response, with an unknown outcome when the request
// was dispatched but got no complete response, or by a release when it was not dispatched.
func (r *receivedAttempt) settleClaim(response *wire.RecordedResponse) {
	granted := r.claim
	if granted == nil {
		return
	}
	r.claim = nil
	settler := r.node.settler
	if !r.isDispatched() {
		if granted.releaseNow(settler) {
			return
		}
		settler.settle(func(ctx context.Context) error { return granted.release(ctx, settler.claimer) })
		return
	}
	outcome := &wire.RecordOutcome{
		Service: granted.service, Key: granted.key, AttemptId: granted.attemptID, NodeId: granted.nodeID, Response: response,
	}
	settler.settle(func(ctx context.Context) error { return settler.claimer.RecordOutcome(ctx, outcome) })
}

// fingerprint returns a digest of method, target and body. Of a streamed body it covers
// only the declared length, since the content is not known before dispatch.
func (r *receivedAttempt) fingerprint() []byte {
	bodyDigest := sha256.New()
	if r.streamed {
		bodyDigest.Write([]byte("length " + strconv.FormatInt(r.head.GetBodyLength(), 10)))
	} else {
		bodyDigest.Write(r.body)
	}
	requestDigest := sha256.New()
	requestDigest.Write([]byte(r.head.GetMethod() + " " + r.head.GetTarget() + "\n"))
	requestDigest.Write(bodyDigest.Sum(nil))
	return requestDigest.Sum(nil)
}

// recorder records the response to a request with an idempotency key; without a claim it
// does nothing.
type recorder struct {
	recorded *wire.RecordedResponse
}

func newRecorder(claim *grantedClaim, response *egress.Response, excluded map[string]bool) *recorder {
	if claim == nil {
		return &recorder{}
	}
	return &recorder{recorded: &wire.RecordedResponse{
		Status:    uint32(response.StatusCode), //nolint:gosec // three digits
		Headers:   encodeHeaders(response.Header, excluded),
		Truncated: response.Request.Method != http.MethodHead && response.ContentLength > maxRecordedBytes,
	}}
}

func (r *recorder) add(data []byte) {
	if r.recorded == nil || r.recorded.GetTruncated() {
		return
	}
	if len(r.recorded.GetBody())+len(data) > maxRecordedBytes {
		r.recorded.Truncated = true
		r.recorded.Body = nil
		return
	}
	r.recorded.Body = append(r.recorded.Body, data...)
}

func (r *recorder) response() *wire.RecordedResponse { return r.recorded }
