package distribute

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// TestConnectSkipsUnresponsiveMember guards against a node that waits for a member on a
// powered-off VM while others are reachable, and against unused streams that stay open.
func TestConnectSkipsUnresponsiveMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slowNodeConn, slowMemberConn := net.Pipe()
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			switch address {
			case "unresponsive":
				<-ctx.Done()
				return nil, ctx.Err()
			case "slow":
				time.Sleep(2 * connectAttemptDelay)
				return slowNodeConn, nil
			case "down":
				return nil, errors.New("refused")
			}
			nodeConn, _ := net.Pipe()
			return nodeConn, nil
		}
		c := NewClient("n", []string{"unresponsive", "slow", "down", "healthy"}, dial, nil, log.NewNopLogger())
		startedAt := time.Now()
		address, _, err := c.connect(t.Context(), c.candidates(c.Members(), 0))
		assert.NilError(t, err)
		assert.Equal(t, address, "healthy")
		assert.Equal(t, time.Since(startedAt), 2*connectAttemptDelay)
		_, err = slowMemberConn.Read(make([]byte, 1)) // returns when the client closes the unused stream
		assert.Assert(t, err != nil)

		_, _, err = c.connect(t.Context(), []string{"down", "down"})
		assert.ErrorContains(t, err, "refused")
	})
}

// TestAvoidedMembersAreDialledLast guards against nodes without a member for as long as members
// are avoided: the leader is frozen, and all others have been without a quorum for a moment.
func TestAvoidedMembersAreDialledLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			if address == "frozen" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			nodeConn, _ := net.Pipe()
			return nodeConn, nil
		}
		c := NewClient("n", []string{"a", "frozen", "b"}, dial, nil, log.NewNopLogger())
		c.isolatedUntil["a"], c.isolatedUntil["b"] = time.Now().Add(isolatedMemberCooldown), time.Now().Add(isolatedMemberCooldown)
		ctx, cancel := context.WithTimeout(t.Context(), isolatedMemberCooldown)
		defer cancel()
		startedAt := time.Now()
		address, _, err := c.connect(ctx, c.dialOrder(c.Members(), 1))
		assert.NilError(t, err)
		assert.Equal(t, address, "b")
		assert.Equal(t, time.Since(startedAt), connectAttemptDelay)
	})
}

// TestCandidates guards against dialling an isolated member while others are available, and
// against dialling none when all are isolated.
func TestCandidates(t *testing.T) {
	c := NewClient("n", []string{"a", "b", "c"}, nil, nil, log.NewNopLogger())
	assert.DeepEqual(t, c.candidates(c.Members(), 4), []string{"b", "c", "a"})
	c.isolatedUntil["b"] = time.Now().Add(time.Hour)
	assert.DeepEqual(t, c.candidates(c.Members(), 1), []string{"c", "a"})
	c.isolatedUntil["a"], c.isolatedUntil["c"] = c.isolatedUntil["b"], c.isolatedUntil["b"]
	assert.DeepEqual(t, c.candidates(c.Members(), 0), []string{"a", "b", "c"})
}
