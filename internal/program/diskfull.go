package program

import (
	"context"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
)

// diskFullRetryDelay is the delay before a control member that failed because the disk is
// full runs again.
const diskFullRetryDelay = time.Second

// retryWhileDiskFull calls run, which runs a control member, again each time it fails because
// the disk is full. Entries that were not written were not acknowledged, so the member can
// reopen its log once there is space and the process need not exit. Other disk errors leave
// the state of the log unknown and are returned.
func retryWhileDiskFull(ctx context.Context, logger log.Logger, run func(ctx context.Context) error) error {
	for {
		err := run(ctx)
		if !errors.Is(err, syscall.ENOSPC) {
			return err
		}
		_ = level.Error(logger).Log("msg", "disk is full; the control member is started again after a pause", "pause_ms", diskFullRetryDelay.Milliseconds(), "err", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(diskFullRetryDelay):
		}
	}
}
