package stagger

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const delay = 100 * time.Millisecond

// resultAfter returns an attempt that returns the value and err after d.
func resultAfter(d time.Duration, value string, err error) Attempt[string] {
	return func(ctx context.Context) (string, error) {
		select {
		case <-time.After(d):
			return value, err
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

// TestFirst guards against waiting for an attempt that hangs while a later one succeeds,
// against a delay after an attempt that has failed, and against a late result that is not
// passed to discard, such as a connection that would stay open.
func TestFirst(t *testing.T) {
	errFailed := errors.New("failed")
	tests := []struct {
		name     string
		attempts []Attempt[string]
		value    string
		index    int
		elapsed  time.Duration
		wantErr  bool
	}{
		{"one", []Attempt[string]{resultAfter(0, "a", nil)}, "a", 0, 0, false},
		{"first hangs", []Attempt[string]{resultAfter(time.Hour, "a", nil), resultAfter(0, "b", nil)}, "b", 1, delay, false},
		{"first fails", []Attempt[string]{resultAfter(0, "", errFailed), resultAfter(0, "b", nil)}, "b", 1, 0, false},
		{"first succeeds after second started", []Attempt[string]{resultAfter(150*time.Millisecond, "a", nil), resultAfter(time.Hour, "b", nil)}, "a", 0, 150 * time.Millisecond, false},
		{"all fail", []Attempt[string]{resultAfter(time.Second, "", errFailed), resultAfter(0, "", errFailed)}, "", 0, time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				index, value, err := First(t.Context(), delay, test.attempts, func(string) {})
				assert.Equal(t, err != nil, test.wantErr)
				assert.Equal(t, value, test.value)
				assert.Equal(t, index, test.index)
				assert.Equal(t, time.Since(started), test.elapsed)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		var discarded []string
		ignoresCancel := func(context.Context) (string, error) { time.Sleep(time.Second); return "late", nil }
		_, value, err := First(t.Context(), delay, []Attempt[string]{ignoresCancel, resultAfter(0, "b", nil)}, func(v string) { discarded = append(discarded, v) })
		assert.NilError(t, err)
		assert.Equal(t, value, "b")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, discarded, []string{"late"})
	})
}
