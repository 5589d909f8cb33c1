package wal

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrLocked reports that another process uses the folder.
	ErrLocked = errors.New("wal: folder is in use by another process")
	// ErrFailed reports that an earlier write or sync failed.
	ErrFailed = errors.New("wal: log has failed")
	// ErrClosed reports use of a closed log.
	ErrClosed = errors.New("wal: log is closed")
)

// DamageError reports a file that is not what was written to it.
type DamageError struct {
	File string
	// Offset in bytes at which the damage was found.
	Offset int64
	Reason string
}

func (e *DamageError) Error() string {
	return fmt.Sprintf("wal: %s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// FailedError reports the write or sync that made the log unusable. It matches ErrFailed.
type FailedError struct {
	Operation string
	Cause     error
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("wal: %s: %v", e.Operation, e.Cause)
}

// Is makes errors.Is(err, ErrFailed) true.
func (e *FailedError) Is(target error) bool {
	return target == ErrFailed
}

// Unwrap returns the error of the filesystem.
func (e *FailedError) Unwrap() error {
	return e.Cause
}
