package datagram

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func listen(t *testing.T, handler Handler) *Peer {
	p, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Serve(handler)
	}()
	t.Cleanup(func() {
		p.Close()
		<-done
	})
	return p
}

// TestResponses guards against delivering a response to the wrong request, a second
// response, a response from another address, or one that arrives after Cancel.
func TestResponses(t *testing.T) {
	lateReplies := make(chan func([]byte), 1)
	responder := listen(t, func(request []byte, reply func([]byte)) {
		if string(request) == "late" {
			lateReplies <- reply
			return
		}
		reply(append([]byte("re: "), request...))
		reply([]byte("second response"))
	})
	requester := listen(t, func([]byte, func([]byte)) {})
	other := listen(t, func([]byte, func([]byte)) {})
	to := netip.MustParseAddrPort(responder.Address())
	responses := make(chan Response, 8)
	cancelled, err := requester.Send(to, []byte("late"), responses)
	assert.NilError(t, err)
	first, err := requester.Send(to, []byte("a"), responses)
	assert.NilError(t, err)
	assert.DeepEqual(t, <-responses, Response{RequestID: first, Payload: []byte("re: a")})
	requester.Cancel(cancelled)
	replyLate := <-lateReplies
	replyLate([]byte("late response"))

	second, err := requester.Send(netip.MustParseAddrPort(other.Address()), []byte("x"), responses)
	assert.NilError(t, err)
	_ = responder.writeDatagram(kindResponse, second, netip.MustParseAddrPort(requester.Address()), []byte("forged"))
	third, err := requester.Send(to, []byte("b"), responses)
	assert.NilError(t, err)
	assert.DeepEqual(t, <-responses, Response{RequestID: third, Payload: []byte("re: b")})
	select {
	case unexpected := <-responses:
		t.Fatalf("unexpected response %q", unexpected.Payload)
	case <-time.After(50 * time.Millisecond):
	}
}
