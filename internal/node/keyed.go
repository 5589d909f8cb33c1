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
	// releaseTimeout bounds the wait for a release before a refusal.
	releaseTimeout = 500 * time.Millisecond
	// recordedBytes is the largest response body that is recorded.
	recordedBytes = 16 << 10
	// settlePause is the pause before a claim's end is reported to control again.
	settlePause = 200 * time.Millisecond
	// maxSettling bounds the claims whose end control has not yet taken. Beyond it
	// keyed requests are refused.
	maxSettling = 4096
)

// heldClaim is a claim that control has granted to an attempt.
type heldClaim struct {
	service   string
	key       string
	attemptID []byte
	nodeID    string
}

// settler tells control how claims ended, in the background and until control has
// taken it. Its place is taken before the claim, so that it can't overflow.
type settler struct {
	claimer Claimer
	places  chan struct{}
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

func newSettler(claimer Claimer) *settler {
	ctx, stop := context.WithCancel(context.Background())
	return &settler{claimer: claimer, places: make(chan struct{}, maxSettling), ctx: ctx, stop: stop}
}

// reserve takes a place, or returns false when all are taken.
func (s *settler) reserve() bool {
	select {
	case s.places <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *settler) free() { <-s.places }

// settle repeats an action until it succeeds or the node stops, then frees the place.
func (s *settler) settle(action func(ctx context.Context) error) {
	s.running.Go(func() {
		defer s.free()
		for action(s.ctx) != nil && sleep(s.ctx, settlePause) {
			continue
		}
	})
}

// close waits for control to take what is left, until ctx ends.
func (s *settler) close(ctx context.Context) {
	defer context.AfterFunc(ctx, s.stop)()
	s.running.Wait()
	s.stop()
}

// takeClaim claims the key of a keyed request. It returns nil when the request may
// run, and otherwise what answers or refuses it.
func (r *received) takeClaim(ctx context.Context) (answer func()) {
	key := r.head.GetIdempotencyKey()
	if key == "" {
		return nil
	}
	settler := r.node.settler
	if !settler.reserve() {
		return func() { r.refuse(wire.RefusalReason_REFUSAL_CLAIM_UNAVAILABLE, "too many claims are being settled") }
	}
	claim := &wire.Claim{
		Service:     r.head.GetService(),
		Key:         key,
		Fingerprint: r.fingerprint(),
		AttemptId:   r.id,
		NodeId:      r.node.settings.ID,
	}
	held := &heldClaim{service: claim.GetService(), key: key, attemptID: r.id, nodeID: claim.GetNodeId()}
	// The entry must hear "not run" before it gives up at the deadline.
	claimCtx, cancel := context.WithTimeout(ctx, min(claimTimeout, time.Until(r.deadline)*3/4))
	defer cancel()
	result, err := settler.claimer.Claim(claimCtx, claim)
	if err != nil {
		// The claim may have been granted, or may still be. It is asked again until
		// the result is known, and then given back.
		settler.settle(func(ctx context.Context) error { return resolve(ctx, settler.claimer, claim, held) })
		return func() { r.refuse(wire.RefusalReason_REFUSAL_CLAIM_UNAVAILABLE, "") }
	}
	if result.GetState() == wire.ClaimState_CLAIM_GRANTED {
		r.claim = held
		return nil
	}
	settler.free()
	return func() { r.answerClaim(result) }
}

// resolve finds out whether a claim was granted and gives it back. The request was
// not dispatched.
func resolve(ctx context.Context, claimer Claimer, claim *wire.Claim, held *heldClaim) error {
	result, err := claimer.Claim(ctx, claim)
	if err != nil || result.GetState() != wire.ClaimState_CLAIM_GRANTED {
		return err
	}
	return held.release(ctx, claimer)
}

func (h *heldClaim) release(ctx context.Context, claimer Claimer) error {
	return claimer.Release(ctx, &wire.ReleaseClaim{Service: h.service, Key: h.key, AttemptId: h.attemptID, NodeId: h.nodeID})
}

// releaseNow gives the claim back before the attempt is refused, because another
// attempt may follow at once and must find the key free. It returns false when that
// took too long.
func (h *heldClaim) releaseNow(s *settler) bool {
	ctx, cancel := context.WithTimeout(s.ctx, releaseTimeout)
	defer cancel()
	if h.release(ctx, s.claimer) != nil {
		return false
	}
	s.free()
	return true
}

// answerClaim answers an attempt whose key belongs to another one.
func (r *received) answerClaim(result *wire.ClaimResult) {
	switch result.GetState() {
	case wire.ClaimState_CLAIM_COMPLETED:
		r.sendRecorded(result.GetResponse())
	case wire.ClaimState_CLAIM_IN_PROGRESS:
		r.refuse(wire.RefusalReason_REFUSAL_CLAIM_IN_PROGRESS, "")
	case wire.ClaimState_CLAIM_MISMATCH:
		r.refuse(wire.RefusalReason_REFUSAL_KEY_MISMATCH, "")
	default:
		r.refuse(wire.RefusalReason_REFUSAL_CLAIM_UNKNOWN, "")
	}
}

func (r *received) sendRecorded(response *wire.RecordedResponse) {
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
	r.sendLast(responseEnd(&wire.ResponseEnd{ByteCount: uint64(len(body)), Load: r.node.upstream.report()}))
}

// settleClaim ends the claim: with the response, as unknown when the request was
// dispatched without a whole response, or by giving it back.
func (r *received) settleClaim(response *wire.RecordedResponse) {
	held := r.claim
	if held == nil {
		return
	}
	r.claim = nil
	settler := r.node.settler
	if !r.isDispatched() {
		if held.releaseNow(settler) {
			return
		}
		settler.settle(func(ctx context.Context) error { return held.release(ctx, settler.claimer) })
		return
	}
	outcome := &wire.RecordOutcome{
		Service: held.service, Key: held.key, AttemptId: held.attemptID, NodeId: held.nodeID, Response: response,
	}
	settler.settle(func(ctx context.Context) error { return settler.claimer.RecordOutcome(ctx, outcome) })
}

// fingerprint covers method, target and body. Of a streamed body only the declared
// length is known before dispatch.
func (r *received) fingerprint() []byte {
	digest := sha256.New()
	if r.streamed {
		digest.Write([]byte("length " + strconv.FormatInt(r.head.GetBodyLength(), 10)))
	} else {
		digest.Write(r.body)
	}
	whole := sha256.New()
	whole.Write([]byte(r.head.GetMethod() + " " + r.head.GetTarget() + "\n"))
	whole.Write(digest.Sum(nil))
	return whole.Sum(nil)
}

// recorder keeps the response of a keyed request; without a claim it does nothing.
type recorder struct {
	recorded *wire.RecordedResponse
}

func newRecorder(claim *heldClaim, response *egress.Response, dropped map[string]bool) *recorder {
	if claim == nil {
		return &recorder{}
	}
	return &recorder{recorded: &wire.RecordedResponse{
		Status:    uint32(response.StatusCode), //nolint:gosec // three digits
		Headers:   encodeHeaders(response.Header, dropped),
		Truncated: response.Request.Method != http.MethodHead && response.ContentLength > recordedBytes,
	}}
}

func (r *recorder) add(data []byte) {
	if r.recorded == nil || r.recorded.GetTruncated() {
		return
	}
	if len(r.recorded.GetBody())+len(data) > recordedBytes {
		r.recorded.Truncated = true
		r.recorded.Body = nil
		return
	}
	r.recorded.Body = append(r.recorded.Body, data...)
}

func (r *recorder) response() *wire.RecordedResponse { return r.recorded }
