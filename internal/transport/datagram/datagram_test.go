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

// TestAnswers guards against answers that reach another question, come twice, come from
// another process, or come after the question was given up.
func TestAnswers(t *testing.T) {
	held := make(chan func([]byte), 1)
	answering := listen(t, func(question []byte, reply func([]byte)) {
		if string(question) == "late" {
			held <- reply
			return
		}
		reply(append([]byte("re: "), question...))
		reply([]byte("second answer"))
	})
	asking := listen(t, func([]byte, func([]byte)) {})
	other := listen(t, func([]byte, func([]byte)) {})
	to := netip.MustParseAddrPort(answering.Address())
	answers := make(chan Answer, 8)
	forgotten, err := asking.Ask(to, []byte("late"), answers)
	assert.NilError(t, err)
	first, err := asking.Ask(to, []byte("a"), answers)
	assert.NilError(t, err)
	assert.DeepEqual(t, <-answers, Answer{Question: first, Payload: []byte("re: a")})
	asking.Forget(forgotten)
	late := <-held
	late([]byte("late answer"))

	second, err := asking.Ask(netip.MustParseAddrPort(other.Address()), []byte("x"), answers)
	assert.NilError(t, err)
	_ = answering.send(kindAnswer, second, netip.MustParseAddrPort(asking.Address()), []byte("forged"))
	third, err := asking.Ask(to, []byte("b"), answers)
	assert.NilError(t, err)
	assert.DeepEqual(t, <-answers, Answer{Question: third, Payload: []byte("re: b")})
	select {
	case unexpected := <-answers:
		t.Fatalf("unexpected answer %q", unexpected.Payload)
	case <-time.After(50 * time.Millisecond):
	}
}
