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

func after(d time.Duration, value string, err error) Attempt[string] {
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
// against a pause after one that has failed, and against late results that nobody closes.
func TestFirst(t *testing.T) {
	failed := errors.New("failed")
	tests := []struct {
		name     string
		attempts []Attempt[string]
		value    string
		index    int
		took     time.Duration
		fails    bool
	}{
		{"one", []Attempt[string]{after(0, "a", nil)}, "a", 0, 0, false},
		{"first hangs", []Attempt[string]{after(time.Hour, "a", nil), after(0, "b", nil)}, "b", 1, delay, false},
		{"first fails", []Attempt[string]{after(0, "", failed), after(0, "b", nil)}, "b", 1, 0, false},
		{"slow one wins", []Attempt[string]{after(150*time.Millisecond, "a", nil), after(time.Hour, "b", nil)}, "a", 0, 150 * time.Millisecond, false},
		{"all fail", []Attempt[string]{after(time.Second, "", failed), after(0, "", failed)}, "", 0, time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				index, value, err := First(t.Context(), delay, test.attempts, func(string) {})
				assert.Equal(t, err != nil, test.fails)
				assert.Equal(t, value, test.value)
				assert.Equal(t, index, test.index)
				assert.Equal(t, time.Since(began), test.took)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		var discarded []string
		deaf := func(context.Context) (string, error) { time.Sleep(time.Second); return "late", nil }
		_, value, err := First(t.Context(), delay, []Attempt[string]{deaf, after(0, "b", nil)}, func(v string) { discarded = append(discarded, v) })
		assert.NilError(t, err)
		assert.Equal(t, value, "b")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, discarded, []string{"late"})
	})
}
