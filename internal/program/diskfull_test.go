package program

import (
	"context"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/state/wal"
)

// TestRetryWhileDiskFull guards against a member whose process exits repeatedly while its disk
// is full, against one that continues after another disk error, and against one that cannot
// be stopped between two attempts.
func TestRetryWhileDiskFull(t *testing.T) {
	diskFull := errors.WithMessage(&wal.FailedError{Operation: "append", Cause: &os.PathError{Op: "write", Path: "log", Err: syscall.ENOSPC}}, "control")
	ioError := errors.WithMessage(&wal.FailedError{Operation: "append", Cause: syscall.EIO}, "control")
	synctest.Test(t, func(t *testing.T) {
		failures := []error{diskFull, diskFull, ioError}
		runs := 0
		err := retryWhileDiskFull(t.Context(), log.NewNopLogger(), func(context.Context) error {
			runs++
			return failures[runs-1]
		})
		assert.ErrorIs(t, err, syscall.EIO)
		assert.Equal(t, runs, 3)

		ctx, cancel := context.WithCancel(t.Context())
		err = retryWhileDiskFull(ctx, log.NewNopLogger(), func(context.Context) error { cancel(); return diskFull })
		assert.NilError(t, err)
	})
}
