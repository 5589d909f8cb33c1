package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// A snapshot file consists of a magic number (4 bytes), the CRC32C of the rest (4), the
// encoded raft.SnapshotMeta and the data.
const snapshotHeaderBytes = 8

var snapshotMagic = []byte("CLSN")

func snapshotFileName(index uint64) string {
	return fmt.Sprintf("%016x.snapshot", index)
}

// SaveSnapshot makes a snapshot of this member's own state durable, then removes the
// previous snapshot and the segments that it covers. It ignores a snapshot that is
// not newer than the stored one. Its error matches ErrFailed if this or an earlier
// write failed.
func (l *Log) SaveSnapshot(snapshot raft.Snapshot) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	return l.saveSnapshot(snapshot, false)
}

// InstallSnapshot makes a snapshot from the leader durable and replaces the whole log
// with it. It ignores a snapshot that is not newer than the stored one.
func (l *Log) InstallSnapshot(snapshot raft.Snapshot) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	return l.saveSnapshot(snapshot, true)
}

func (l *Log) saveSnapshot(snapshot raft.Snapshot, install bool) error {
	if err := l.checkFailure(); err != nil {
		return err
	}
	meta := snapshot.Meta
	if meta.Index <= l.snapshotIndex {
		return nil
	}
	previousIndex := l.snapshotIndex
	if err := l.writeFileAtomically(snapshotFileName(meta.Index), encodeSnapshot(snapshot)); err != nil {
		return l.markFailed("save snapshot", err)
	}
	l.snapshotIndex = meta.Index
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return l.failure
	}
	if install {
		l.lastEntry = entryID{meta.Index, meta.Term}
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	if previousIndex > 0 {
		if err := l.fs.Remove(l.path(snapshotFileName(previousIndex))); err != nil {
			return l.markFailedLocked("remove previous snapshot", err)
		}
	}
	return l.removeSegmentsUpTo(meta.Index)
}

// removeSegmentsUpTo removes the segments that hold no entry after index: those before
// the last segment whose prevEntry is at or below index.
func (l *Log) removeSegmentsUpTo(index uint64) error {
	keep := len(l.segments) - 1
	for keep > 0 && l.segments[keep].prevEntry.index > index {
		keep--
	}
	for _, old := range l.segments[:keep] {
		if err := l.fs.Remove(l.path(segmentFileName(old.number))); err != nil {
			return l.markFailedLocked("remove obsolete segment", err)
		}
	}
	l.segments = l.segments[keep:]
	return nil
}

// LoadSnapshot reads the newest snapshot. Without one it returns the zero Snapshot.
func (l *Log) LoadSnapshot() (raft.Snapshot, error) {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if l.snapshotIndex == 0 {
		return raft.Snapshot{}, nil
	}
	return l.readSnapshot(l.snapshotIndex)
}

// writeFileAtomically writes and syncs a temporary file, renames it to name and syncs
// the directory.
func (l *Log) writeFileAtomically(name string, data []byte) error {
	temporaryPath := l.path(name + temporarySuffix)
	file, err := l.fs.Create(temporaryPath)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := l.fs.Rename(temporaryPath, l.path(name)); err != nil {
		return err
	}
	return l.fs.SyncDir(l.dir)
}

func encodeSnapshot(snapshot raft.Snapshot) []byte {
	b := make([]byte, snapshotHeaderBytes, snapshotHeaderBytes+len(snapshot.Data)+256)
	copy(b, snapshotMagic)
	b = raft.AppendSnapshotMeta(b, snapshot.Meta)
	b = append(b, snapshot.Data...)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[snapshotHeaderBytes:], castagnoliTable))
	return b
}

func (l *Log) readSnapshot(index uint64) (raft.Snapshot, error) {
	path := l.path(snapshotFileName(index))
	b, err := l.fs.ReadFile(path)
	if err != nil {
		return raft.Snapshot{}, errors.Wrap(err, "wal: read snapshot")
	}
	if len(b) < snapshotHeaderBytes || !bytes.Equal(b[:4], snapshotMagic) {
		return raft.Snapshot{}, &CorruptionError{File: path, Reason: "invalid snapshot header"}
	}
	rest := b[snapshotHeaderBytes:]
	if crc32.Checksum(rest, castagnoliTable) != binary.LittleEndian.Uint32(b[4:]) {
		return raft.Snapshot{}, &CorruptionError{File: path, Offset: snapshotHeaderBytes, Reason: "snapshot checksum mismatch"}
	}
	d := raft.NewDecoder(rest)
	snapshot := raft.Snapshot{Meta: d.SnapshotMeta()}
	snapshot.Data = d.Rest()
	if d.Finish() != nil || snapshot.Meta.Index != index {
		return raft.Snapshot{}, &CorruptionError{File: path, Offset: snapshotHeaderBytes, Reason: "invalid snapshot metadata"}
	}
	return snapshot, nil
}

// loadNewestSnapshot reads the newest snapshot and removes older ones.
func (l *Log) loadNewestSnapshot(names []string) (raft.Snapshot, error) {
	newest := uint64(0)
	var indexes []uint64
	for _, name := range names {
		var index uint64
		_, err := fmt.Sscanf(name, "%016x.snapshot", &index)
		if err == nil && name == snapshotFileName(index) {
			indexes = append(indexes, index)
			newest = max(newest, index)
		}
	}
	if newest == 0 {
		return raft.Snapshot{}, nil
	}
	snapshot, err := l.readSnapshot(newest)
	if err != nil {
		return raft.Snapshot{}, err
	}
	for _, index := range indexes {
		if index == newest {
			continue
		}
		if err := l.fs.Remove(l.path(snapshotFileName(index))); err != nil {
			return raft.Snapshot{}, errors.Wrap(err, "wal: remove previous snapshot")
		}
	}
	return snapshot, nil
}
