package wal

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrLocked reports that another process has locked the data directory.
	ErrLocked = errors.New("wal: data directory is locked by another process")
	// ErrFailed reports that an earlier write or sync failed.
	ErrFailed = errors.New("wal: log is unusable after a failed operation")
	// ErrClosed reports use of a closed log.
	ErrClosed = errors.New("wal: log is closed")
)

// CorruptionError reports that a file is corrupt or missing.
type CorruptionError struct {
	File string
	// Offset is the byte offset at which the corruption was detected.
	Offset int64
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// FailedError reports the filesystem operation that failed and made the log
// unusable. It matches ErrFailed.
type FailedError struct {
	Operation string
	Cause     error
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("wal: log is unusable: %s: %v", e.Operation, e.Cause)
}

// Is makes errors.Is(err, ErrFailed) true.
func (e *FailedError) Is(target error) bool {
	return target == ErrFailed
}

// Unwrap returns the filesystem error.
func (e *FailedError) Unwrap() error {
	return e.Cause
}
