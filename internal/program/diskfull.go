package program

import (
	"context"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
)

// diskFullPause is the time between two attempts to open a log on a full disk.
const diskFullPause = time.Second

// whileDiskFull runs a member again each time that it has failed because its disk was
// full. What was not written was not acknowledged, so that the member can open its log
// anew once there is space, and need not end its process. Other errors of the disk leave
// the state of the log in doubt and are returned.
func whileDiskFull(ctx context.Context, logger log.Logger, run func(ctx context.Context) error) error {
	for {
		err := run(ctx)
		if !errors.Is(err, syscall.ENOSPC) {
			return err
		}
		_ = level.Error(logger).Log("msg", "disk is full, the log is opened again", "pause_ms", diskFullPause.Milliseconds(), "err", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(diskFullPause):
		}
	}
}
