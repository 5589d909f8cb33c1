// Package wal keeps the durable state of a control member in one folder: a
// write-ahead log in segments, the newest snapshot, the member's identity and a
// lock file.
//
// Each Append is one checksummed record, one write and one sync. Only the last
// record of the last segment can be torn by a crash; it is cut when the log is
// opened. Any other damage is an error. After a failed write or sync the state of
// the file is unknown, so the log refuses all further use.
package wal

import (
	"path/filepath"
	"sync"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// DefaultSegmentBytes is the size at which a new segment is begun.
const DefaultSegmentBytes = 8 << 20

// Options hold the settings of a log.
type Options struct {
	// Dir is the folder; it is created when missing.
	Dir string
	// FS defaults to the operating system's.
	FS FS
	// SegmentBytes defaults to DefaultSegmentBytes.
	SegmentBytes int64
}

// Contents is what a folder held when it was opened.
type Contents struct {
	// Identity is nil for a new folder.
	Identity *Identity
	// HardState is the last one written.
	HardState raft.HardState
	// Snapshot is the newest one; its index is 0 without one.
	Snapshot raft.Snapshot
	// Entries follow the snapshot.
	Entries []raft.Entry
}

// State returns the contents in the form that the consensus core starts from.
func (c Contents) State() raft.State {
	return raft.State{HardState: c.HardState, Snapshot: c.Snapshot.Meta, Entries: c.Entries}
}

// Log is the open folder. Its methods may be called from several goroutines.
type Log struct {
	fs           FS
	dir          string
	segmentBytes int64
	lock         interface{ Close() error }

	// snapshotMu serialises work on snapshot files, which may take long, without
	// holding up Append. It is taken before mu.
	snapshotMu sync.Mutex
	// snapshotIndex is the index of the newest snapshot, 0 without one.
	snapshotIndex uint64

	mu       sync.Mutex
	failed   error
	segments []segment
	file     File
	size     int64
	sequence uint64
	hard     raft.HardState
	last     position
	buffer   []byte
}

// position names an entry.
type position struct {
	index uint64
	term  uint64
}

// segment is a file of the log.
type segment struct {
	number uint64
	// base is the last entry before the segment.
	base position
}

// Open locks the folder, reads it and cuts a torn tail. It returns ErrLocked,
// a *DamageError, or an error of the filesystem.
func Open(options Options) (*Log, Contents, error) {
	l := &Log{fs: options.FS, dir: options.Dir, segmentBytes: options.SegmentBytes}
	if l.fs == nil {
		l.fs = OS{}
	}
	if l.segmentBytes == 0 {
		l.segmentBytes = DefaultSegmentBytes
	}
	if err := l.fs.MkdirAll(l.dir); err != nil {
		return nil, Contents{}, errors.Wrap(err, "wal: create folder")
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

// Append makes the hard state, when it is not nil, and the entries durable in one
// record. Entries replace those with the same or a higher index. It returns
// ErrFailed after any earlier failure.
func (l *Log) Append(hard *raft.HardState, entries []raft.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return l.failed
	}
	if l.size >= l.segmentBytes {
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	if err := l.writeRecord(batchPayload(hard, entries)); err != nil {
		return err
	}
	if hard != nil {
		l.hard = *hard
	}
	if n := len(entries); n > 0 {
		l.last = position{entries[n-1].Index, entries[n-1].Term}
	}
	return nil
}

// writeRecord writes and syncs one record.
func (l *Log) writeRecord(payload []byte) error {
	l.sequence++
	l.buffer = appendRecord(l.buffer[:0], l.sequence, payload)
	if _, err := l.file.Write(l.buffer); err != nil {
		return l.fail("write segment", err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail("sync segment", err)
	}
	l.size += int64(len(l.buffer))
	return nil
}

// startSegment begins a segment whose header names the last entry and the hard state.
func (l *Log) startSegment() error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return l.fail("close segment", err)
		}
		l.file = nil
	}
	file, err := l.fs.Create(l.path(segmentName(number)))
	if err != nil {
		return l.fail("create segment", err)
	}
	l.file = file
	l.size = 0
	if err := l.writeRecord(headerPayload(l.last, l.hard)); err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fail("sync folder", err)
	}
	l.segments = append(l.segments, segment{number: number, base: l.last})
	return nil
}

// fail makes the log refuse all further use.
func (l *Log) fail(operation string, err error) error {
	if l.failed == nil {
		l.failed = &FailedError{Operation: operation, Cause: err}
	}
	return l.failed
}

func (l *Log) lockedFail(operation string, err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fail(operation, err)
}

func (l *Log) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Close releases the folder. Everything that was acknowledged is durable already.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = ErrClosed
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
