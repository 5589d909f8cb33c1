package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// A snapshot file is magic (4 bytes), CRC32C of the rest (4), the description and the data.
const snapshotHeadBytes = 8

var snapshotMagic = []byte("CLSN")

func snapshotName(index uint64) string {
	return fmt.Sprintf("%016x.snapshot", index)
}

// SaveSnapshot makes a snapshot of this member's own state durable, then removes
// older snapshots and the segments below it. A snapshot that is not newer is
// ignored. It returns ErrFailed after any failure.
func (l *Log) SaveSnapshot(snapshot raft.Snapshot) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	return l.saveSnapshot(snapshot, false)
}

// InstallSnapshot makes a leader's snapshot durable and replaces the whole log by it.
func (l *Log) InstallSnapshot(snapshot raft.Snapshot) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	return l.saveSnapshot(snapshot, true)
}

func (l *Log) saveSnapshot(snapshot raft.Snapshot, install bool) error {
	if err := l.failure(); err != nil {
		return err
	}
	meta := snapshot.Meta
	if meta.Index <= l.snapshotIndex {
		return nil
	}
	older := l.snapshotIndex
	if err := l.writeFile(snapshotName(meta.Index), encodeSnapshot(snapshot)); err != nil {
		return l.lockedFail("save snapshot", err)
	}
	l.snapshotIndex = meta.Index
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return l.failed
	}
	if install {
		l.last = position{meta.Index, meta.Term}
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	if older > 0 {
		if err := l.fs.Remove(l.path(snapshotName(older))); err != nil {
			return l.fail("remove snapshot", err)
		}
	}
	return l.removeBefore(meta.Index)
}

// removeBefore removes the segments that hold nothing after the index: all before
// the last one that begins at or below it.
func (l *Log) removeBefore(index uint64) error {
	keep := len(l.segments) - 1
	for keep > 0 && l.segments[keep].base.index > index {
		keep--
	}
	for _, old := range l.segments[:keep] {
		if err := l.fs.Remove(l.path(segmentName(old.number))); err != nil {
			return l.fail("remove segment", err)
		}
	}
	l.segments = l.segments[keep:]
	return nil
}

// LoadSnapshot reads the newest snapshot; its index is 0 without one.
func (l *Log) LoadSnapshot() (raft.Snapshot, error) {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if l.snapshotIndex == 0 {
		return raft.Snapshot{}, nil
	}
	return l.readSnapshot(l.snapshotIndex)
}

// writeFile writes a new file, syncs it, renames it into place and syncs the folder.
func (l *Log) writeFile(name string, data []byte) error {
	temporary := l.path(name + temporarySuffix)
	file, err := l.fs.Create(temporary)
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
	if err := l.fs.Rename(temporary, l.path(name)); err != nil {
		return err
	}
	return l.fs.SyncDir(l.dir)
}

func encodeSnapshot(snapshot raft.Snapshot) []byte {
	b := make([]byte, snapshotHeadBytes, snapshotHeadBytes+len(snapshot.Data)+256)
	copy(b, snapshotMagic)
	b = raft.AppendMeta(b, snapshot.Meta)
	b = append(b, snapshot.Data...)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[snapshotHeadBytes:], castagnoli))
	return b
}

func (l *Log) readSnapshot(index uint64) (raft.Snapshot, error) {
	path := l.path(snapshotName(index))
	b, err := l.fs.ReadFile(path)
	if err != nil {
		return raft.Snapshot{}, errors.Wrap(err, "wal: read snapshot")
	}
	if len(b) < snapshotHeadBytes || !bytes.Equal(b[:4], snapshotMagic) {
		return raft.Snapshot{}, &DamageError{File: path, Reason: "not a snapshot"}
	}
	rest := b[snapshotHeadBytes:]
	if crc32.Checksum(rest, castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return raft.Snapshot{}, &DamageError{File: path, Offset: snapshotHeadBytes, Reason: "wrong checksum"}
	}
	d := raft.NewDecoder(rest)
	snapshot := raft.Snapshot{Meta: d.Meta()}
	snapshot.Data = d.Rest()
	if d.Finish() != nil || snapshot.Meta.Index != index {
		return raft.Snapshot{}, &DamageError{File: path, Offset: snapshotHeadBytes, Reason: "invalid description"}
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
		if err == nil && name == snapshotName(index) {
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
		if err := l.fs.Remove(l.path(snapshotName(index))); err != nil {
			return raft.Snapshot{}, errors.Wrap(err, "wal: remove old snapshot")
		}
	}
	return snapshot, nil
}
