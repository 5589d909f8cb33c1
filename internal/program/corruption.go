package program

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/state/wal"
)

// corruptionAction tells the operator how to replace a member that may have lost votes or
// acknowledged entries, and so must not take part under its old ID.
const corruptionAction = "move the data directory away and start the member with join, see docs/OPERATIONS.md"

// logCorruption logs which file makes a control member unable to start. Other errors are not
// logged here.
func logCorruption(logger log.Logger, dataDir string, err error) {
	var corruption *wal.CorruptionError
	if !errors.As(err, &corruption) {
		return
	}
	_ = level.Error(logger).Log("msg", "data directory is corrupt; the member cannot start", "data_dir", dataDir,
		"file", corruption.File, "offset", corruption.Offset, "reason", corruption.Reason, "action", corruptionAction)
}
