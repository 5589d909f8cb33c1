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

// TestConnectPassesSilentMember guards against a node that waits for a member whose VM has
// no power while others could be reached, and against streams that stay open unused.
func TestConnectPassesSilentMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late, far := net.Pipe()
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			switch address {
			case "silent":
				<-ctx.Done()
				return nil, ctx.Err()
			case "slow":
				time.Sleep(2 * connectAttemptDelay)
				return late, nil
			case "down":
				return nil, errors.New("refused")
			}
			near, _ := net.Pipe()
			return near, nil
		}
		c := NewClient("n", []string{"silent", "slow", "down", "well"}, dial, nil, log.NewNopLogger())
		started := time.Now()
		address, _, err := c.connect(t.Context(), c.candidates(c.members(), 0))
		assert.NilError(t, err)
		assert.Equal(t, address, "well")
		assert.Equal(t, time.Since(started), 2*connectAttemptDelay)
		_, err = far.Read(make([]byte, 1)) // ends when the unused stream is closed
		assert.Assert(t, err != nil)

		_, _, err = c.connect(t.Context(), []string{"down", "down"})
		assert.ErrorContains(t, err, "refused")
	})
}

// TestMembersInTurn guards against asking an isolated member before others, and against
// asking none when all are isolated.
func TestMembersInTurn(t *testing.T) {
	c := NewClient("n", []string{"a", "b", "c"}, nil, nil, log.NewNopLogger())
	assert.DeepEqual(t, c.candidates(c.members(), 4), []string{"b", "c", "a"})
	c.isolatedUntil["b"] = time.Now().Add(time.Hour)
	assert.DeepEqual(t, c.candidates(c.members(), 1), []string{"c", "a"})
	c.isolatedUntil["a"], c.isolatedUntil["c"] = c.isolatedUntil["b"], c.isolatedUntil["b"]
	assert.DeepEqual(t, c.candidates(c.members(), 0), []string{"a", "b", "c"})
}
