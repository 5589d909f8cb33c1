package wal

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

const temporarySuffix = ".tmp"

// load reads the data directory, removes what a crash left incomplete and starts a
// new segment. What it returns is durable: an earlier process may have been killed between
// a write and its sync, and a loss of power must not take back what this one relies on.
func (l *Log) load() (Contents, error) {
	if err := l.fs.SyncDir(l.dir); err != nil {
		return Contents{}, errors.Wrap(err, "wal: sync data directory")
	}
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return Contents{}, errors.Wrap(err, "wal: read data directory")
	}
	if err := l.removeTemporaryFiles(names); err != nil {
		return Contents{}, err
	}
	var contents Contents
	if contents.Identity, err = l.readIdentity(); err != nil {
		return Contents{}, err
	}
	if contents.Snapshot, err = l.loadNewestSnapshot(names); err != nil {
		return Contents{}, err
	}
	l.snapshotIndex = contents.Snapshot.Meta.Index
	numbers := segmentNumbers(names)
	isNew := contents.Identity == nil && l.snapshotIndex == 0
	loaded, err := l.readSegments(numbers)
	if err != nil {
		return Contents{}, err
	}
	if len(loaded) == 0 && !isNew {
		return Contents{}, &CorruptionError{File: l.dir, Reason: "the data directory contains no readable segment"}
	}
	if err := l.makeDurable(loaded); err != nil {
		return Contents{}, err
	}
	if err := l.removeObsoleteSegments(numbers, loaded); err != nil {
		return Contents{}, err
	}
	if err := l.replay(loaded, &contents); err != nil {
		return Contents{}, err
	}
	if contents.Identity == nil && contents.HardState != (raft.HardState{}) {
		return Contents{}, &CorruptionError{File: l.path(identityFileName), Reason: "the member identity is missing"}
	}
	if err := l.startSegment(); err != nil {
		return Contents{}, err
	}
	return contents, l.removeSegmentsUpTo(l.snapshotIndex)
}

func (l *Log) removeTemporaryFiles(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := l.fs.Remove(l.path(name)); err != nil {
			return errors.Wrap(err, "wal: remove temporary file")
		}
	}
	return nil
}

func segmentNumbers(names []string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		var number uint64
		_, err := fmt.Sscanf(name, "%016x.wal", &number)
		if err == nil && name == segmentFileName(number) {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// loadedSegment is a segment that is being replayed.
type loadedSegment struct {
	segment
	path string
	data []byte
	// sequence is the sequence number of the header record.
	sequence uint64
	// hardState is the hard state in the header.
	hardState raft.HardState
	// offset is the byte offset of the next record.
	offset int64
	// isLast is set for the last segment, whose last record may be torn.
	isLast bool
}

// readSegments returns the segments that can hold entries after the snapshot. It does
// not read earlier segments: some of them may be missing, because a crash can
// interrupt their removal.
func (l *Log) readSegments(numbers []uint64) ([]loadedSegment, error) {
	var loaded []loadedSegment
	for i := len(numbers) - 1; i >= 0; i-- {
		isLast := i == len(numbers)-1
		seg, found, err := l.readSegment(numbers[i], isLast)
		if err != nil {
			return nil, err
		}
		if !found {
			continue
		}
		if len(loaded) > 0 && loaded[0].number != seg.number+1 {
			return nil, missingSegmentError(loaded[0])
		}
		loaded = append([]loadedSegment{seg}, loaded...)
		if seg.prevEntry.index <= l.snapshotIndex {
			return loaded, nil
		}
	}
	if len(loaded) > 0 {
		return nil, missingSegmentError(loaded[0])
	}
	return nil, nil
}

// makeDurable makes the segments durable as they were read. It must be called before any
// earlier segment is removed, which holds the hard state until then. The other files need no
// sync: they get their names only after their content is durable.
//
// The last segment is written anew, since only that one can hold bytes of a sync that failed.
// The operating system may still return such bytes, and report success for a later sync
// without writing them.
func (l *Log) makeDurable(loaded []loadedSegment) error {
	for i := range loaded {
		seg := &loaded[i]
		if i == len(loaded)-1 {
			err := l.writeFileAtomically(segmentFileName(seg.number), seg.data)
			return errors.Wrap(err, "wal: rewrite last segment of an earlier process")
		}
		if err := l.fs.SyncFile(seg.path); err != nil {
			return errors.Wrap(err, "wal: sync segment of an earlier process")
		}
	}
	return nil
}

// removeObsoleteSegments removes the segments before the first loaded one. They remain
// from a removal that a crash interrupted or undid.
func (l *Log) removeObsoleteSegments(numbers []uint64, loaded []loadedSegment) error {
	for _, number := range numbers {
		if len(loaded) == 0 || number >= loaded[0].number {
			break
		}
		if err := l.fs.Remove(l.path(segmentFileName(number))); err != nil {
			return errors.Wrap(err, "wal: remove obsolete segment")
		}
	}
	return nil
}

func missingSegmentError(next loadedSegment) error {
	return &CorruptionError{File: next.path, Reason: "the preceding segment is missing"}
}

// readSegment reads a segment and decodes its header. If the segment is the last one
// and a crash came before its header was durable, readSegment removes the file and
// returns false for found.
func (l *Log) readSegment(number uint64, isLast bool) (seg loadedSegment, found bool, err error) {
	seg = loadedSegment{path: l.path(segmentFileName(number)), isLast: isLast}
	seg.number = number
	if seg.data, err = l.fs.ReadFile(seg.path); err != nil {
		return seg, false, errors.Wrap(err, "wal: read segment")
	}
	sequence, payload, size, ok := parseRecord(seg.data)
	if !ok && isLast && !containsRecordAfter(seg.data, 0) {
		if err := l.fs.Remove(seg.path); err != nil {
			return seg, false, errors.Wrap(err, "wal: remove torn segment")
		}
		return seg, false, nil
	}
	if ok {
		seg.prevEntry, seg.hardState, ok = decodeSegmentHeader(payload)
	}
	if !ok {
		return seg, false, &CorruptionError{File: seg.path, Reason: "invalid segment header"}
	}
	seg.sequence = sequence
	seg.offset = size
	return seg, true, nil
}

// replayedLog holds the result of the records replayed so far.
type replayedLog struct {
	// prevEntry is the entry before the first of entries.
	prevEntry entryID
	entries   []raft.Entry
}

func (r *replayedLog) lastEntry() entryID {
	if n := len(r.entries); n > 0 {
		return entryID{r.entries[n-1].Index, r.entries[n-1].Term}
	}
	return r.prevEntry
}

// replay applies the records of the segments in order and stores the resulting hard
// state and the entries after the snapshot in contents.
func (l *Log) replay(loaded []loadedSegment, contents *Contents) error {
	replayed := &replayedLog{}
	for i := range loaded {
		seg := &loaded[i]
		if i > 0 && seg.sequence != l.sequence+1 {
			return &CorruptionError{File: seg.path, Reason: "the records before this segment are missing"}
		}
		if i == 0 {
			replayed.prevEntry = seg.prevEntry
		}
		if seg.prevEntry != replayed.lastEntry() {
			return &CorruptionError{File: seg.path, Reason: "the segment header does not match the last entry before the segment"}
		}
		l.sequence = seg.sequence
		l.hardState = seg.hardState
		l.segments = append(l.segments, seg.segment)
		if err := l.replaySegment(seg, replayed); err != nil {
			return err
		}
	}
	return l.reconcileSnapshot(replayed, contents)
}

func (l *Log) replaySegment(seg *loadedSegment, replayed *replayedLog) error {
	for seg.offset < int64(len(seg.data)) {
		rest := seg.data[seg.offset:]
		sequence, payload, size, ok := parseRecord(rest)
		if !ok {
			if !seg.isLast || containsRecordAfter(rest[1:], l.sequence) {
				return &CorruptionError{File: seg.path, Offset: seg.offset, Reason: "invalid record"}
			}
			err := l.fs.Truncate(seg.path, seg.offset)
			return errors.Wrap(err, "wal: truncate torn record")
		}
		if sequence != l.sequence+1 {
			return &CorruptionError{File: seg.path, Offset: seg.offset, Reason: "unexpected record sequence number"}
		}
		hardState, entries, ok := decodeBatch(payload)
		if !ok || !replayed.applyEntries(entries) {
			return &CorruptionError{File: seg.path, Offset: seg.offset, Reason: "invalid batch or gap in the entry indexes"}
		}
		if hardState != nil {
			l.hardState = *hardState
		}
		l.sequence = sequence
		seg.offset += size
	}
	return nil
}

// applyEntries appends entries in order; each replaces the existing entries with the
// same or a higher index. It returns false if an entry would leave a gap.
func (r *replayedLog) applyEntries(entries []raft.Entry) bool {
	for _, e := range entries {
		if e.Index > r.lastEntry().index+1 {
			return false
		}
		if e.Index <= r.prevEntry.index {
			// The entry replaces all entries read so far, and earlier ones that the
			// snapshot covers. The term of the entry before it is not needed.
			*r = replayedLog{prevEntry: entryID{index: e.Index - 1}}
		}
		r.entries = append(r.entries[:e.Index-r.prevEntry.index-1], e)
	}
	return true
}

// reconcileSnapshot drops the entries that the snapshot covers. It drops all entries
// if the log has no entry with the index and term of the snapshot: the snapshot was
// then installed from the leader, and the process crashed before it had started the
// next segment.
func (l *Log) reconcileSnapshot(replayed *replayedLog, contents *Contents) error {
	meta := contents.Snapshot.Meta
	if replayed.prevEntry.index > meta.Index {
		return &CorruptionError{File: l.dir, Reason: fmt.Sprintf("snapshot at index %d is missing", replayed.prevEntry.index)}
	}
	coveredCount := meta.Index - replayed.prevEntry.index
	snapshotEntry := replayed.prevEntry
	if coveredCount > 0 && coveredCount <= uint64(len(replayed.entries)) {
		snapshotEntry = entryID{replayed.entries[coveredCount-1].Index, replayed.entries[coveredCount-1].Term}
	}
	if snapshotEntry == (entryID{meta.Index, meta.Term}) {
		contents.Entries = replayed.entries[coveredCount:]
		l.lastEntry = replayed.lastEntry()
	} else {
		l.lastEntry = entryID{meta.Index, meta.Term}
	}
	l.hardState.Commit = min(l.hardState.Commit, l.lastEntry.index)
	contents.HardState = l.hardState
	return nil
}
