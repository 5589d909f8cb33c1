// Package wal stores the durable state of a control member in one directory: a
// segmented write-ahead log, the newest snapshot, the member's identity and a lock
// file. State that is corrupt is replaced by an empty generation in a subdirectory.
//
// Each Append writes one checksummed record with one write and one sync. A crash can
// tear only the last record of the last segment; Open truncates it. Any other
// corruption is an error. After a failed write or sync the state of the file is
// unknown, so the log rejects all further writes.
package wal

import (
	"path/filepath"
	"sync"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 8 << 20

// Options are the settings of a log.
type Options struct {
	// Dir is the data directory. Open creates it if it does not exist.
	Dir string
	// FS defaults to OS.
	FS FS
	// SegmentBytes is the size at which Append starts a new segment. It defaults to
	// DefaultSegmentBytes.
	SegmentBytes int64
}

// Contents is the state that Open read from the data directory.
type Contents struct {
	// Identity is nil if none is stored yet.
	Identity *Identity
	// HardState is the last hard state written.
	HardState raft.HardState
	// Snapshot is the newest snapshot; its index is 0 if there is none.
	Snapshot raft.Snapshot
	// Entries are the entries after the snapshot.
	Entries []raft.Entry
	// Generation is the number of the generation, from 1. Open does not set it.
	Generation int
	// PreviousClusterID is the cluster of the corrupt generation before this one while
	// Identity is nil, otherwise 0. Open does not set it.
	PreviousClusterID uint64
	// Corruption is what made OpenNewest start this generation, nil if it existed before.
	Corruption *CorruptionError
}

// State returns the contents as the initial state of raft.Core.
func (c Contents) State() raft.State {
	return raft.State{HardState: c.HardState, Snapshot: c.Snapshot.Meta, Entries: c.Entries}
}

// Log is an open write-ahead log with its snapshot and identity. It is safe for
// concurrent use.
type Log struct {
	fs           FS
	dir          string
	segmentBytes int64
	lock         interface{ Close() error }

	// snapshotMu serialises writes of the snapshot and identity files, which may take
	// long, without blocking Append. It is locked before mu.
	snapshotMu sync.Mutex
	// snapshotIndex is the index of the newest snapshot, 0 if there is none.
	snapshotIndex uint64

	// mu protects the fields below.
	mu sync.Mutex
	// failure is the first error that made the log unusable, or ErrClosed after Close.
	failure  error
	segments []segment
	// file is the last segment, open for appending.
	file      File
	fileBytes int64
	// sequence is the sequence number of the last record.
	sequence  uint64
	hardState raft.HardState
	lastEntry entryID
	// buffer is reused to encode records.
	buffer []byte
}

// entryID identifies an entry of the Raft log.
type entryID struct {
	index uint64
	term  uint64
}

// segment is a file of the log.
type segment struct {
	number uint64
	// prevEntry is the last entry before the segment; zero if there is none.
	prevEntry entryID
}

// Open locks the data directory, reads it and truncates a torn last record. Its error
// matches ErrLocked, is a *CorruptionError, or comes from the filesystem.
func Open(options Options) (*Log, Contents, error) {
	l := &Log{fs: options.FS, dir: options.Dir, segmentBytes: options.SegmentBytes}
	if l.fs == nil {
		l.fs = OS{}
	}
	if l.segmentBytes == 0 {
		l.segmentBytes = DefaultSegmentBytes
	}
	if err := l.fs.MkdirAll(l.dir); err != nil {
		return nil, Contents{}, errors.Wrap(err, "wal: create data directory")
	}
	lock, err := l.fs.Lock(l.path("lock"))
	if err != nil {
		return nil, Contents{}, err
	}
	l.lock = lock
	contents, err := l.load()
	if err != nil {
		_ = lock.Close()
		return nil, Contents{}, err
	}
	return l, contents, nil
}

func (l *Log) path(name string) string {
	return filepath.Join(l.dir, name)
}

// Append makes the hard state, if it is not nil, and the entries durable in one
// record. Each entry replaces the existing entries with the same or a higher index.
// The error of Append matches ErrFailed if this or an earlier write failed.
func (l *Log) Append(hardState *raft.HardState, entries []raft.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return l.failure
	}
	if l.fileBytes >= l.segmentBytes {
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	if err := l.writeRecord(encodeBatch(hardState, entries)); err != nil {
		return err
	}
	if hardState != nil {
		l.hardState = *hardState
	}
	if n := len(entries); n > 0 {
		l.lastEntry = entryID{entries[n-1].Index, entries[n-1].Term}
	}
	return nil
}

// writeRecord writes and syncs one record.
func (l *Log) writeRecord(payload []byte) error {
	l.sequence++
	l.buffer = appendRecord(l.buffer[:0], l.sequence, payload)
	if _, err := l.file.Write(l.buffer); err != nil {
		return l.markFailedLocked("write segment", err)
	}
	if err := l.file.Sync(); err != nil {
		return l.markFailedLocked("sync segment", err)
	}
	l.fileBytes += int64(len(l.buffer))
	return nil
}

// startSegment creates the next segment and writes its header, which holds the last
// entry's ID and the hard state.
func (l *Log) startSegment() error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return l.markFailedLocked("close segment", err)
		}
		l.file = nil
	}
	file, err := l.fs.Create(l.path(segmentFileName(number)))
	if err != nil {
		return l.markFailedLocked("create segment", err)
	}
	l.file = file
	l.fileBytes = 0
	if err := l.writeRecord(encodeSegmentHeader(l.lastEntry, l.hardState)); err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.markFailedLocked("sync data directory", err)
	}
	l.segments = append(l.segments, segment{number: number, prevEntry: l.lastEntry})
	return nil
}

// markFailedLocked makes the log reject all further writes and returns the first
// failure. The caller holds l.mu, except in Open, where the log is not shared yet.
func (l *Log) markFailedLocked(operation string, err error) error {
	if l.failure == nil {
		l.failure = &FailedError{Operation: operation, Cause: err}
	}
	return l.failure
}

// markFailed calls markFailedLocked with l.mu held.
func (l *Log) markFailed(operation string, err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.markFailedLocked(operation, err)
}

func (l *Log) checkFailure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

// Close closes the current segment and releases the lock. All acknowledged writes are
// already durable.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failure = ErrClosed
	var err error
	if l.file != nil {
		err = l.file.Close()
		l.file = nil
	}
	if lockErr := l.lock.Close(); err == nil {
		err = lockErr
	}
	return errors.Wrap(err, "wal: close")
}
