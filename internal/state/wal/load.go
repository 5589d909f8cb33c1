package wal

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

const temporarySuffix = ".tmp"

// load reads the folder and begins a new segment.
func (l *Log) load() (Contents, error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return Contents{}, errors.Wrap(err, "wal: read folder")
	}
	if err := l.removeTemporary(names); err != nil {
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
	if len(numbers) == 0 && !isNew {
		return Contents{}, &DamageError{File: l.dir, Reason: "the folder holds no segment"}
	}
	files, err := l.readSegments(numbers)
	if err != nil {
		return Contents{}, err
	}
	if err := l.removeUnused(numbers, files); err != nil {
		return Contents{}, err
	}
	if err := l.replay(files, &contents); err != nil {
		return Contents{}, err
	}
	if contents.Identity == nil && contents.HardState != (raft.HardState{}) {
		return Contents{}, &DamageError{File: l.path(identityName), Reason: "the identity is missing"}
	}
	if err := l.startSegment(); err != nil {
		return Contents{}, err
	}
	return contents, l.removeBefore(l.snapshotIndex)
}

func (l *Log) removeTemporary(names []string) error {
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
		if err == nil && name == segmentName(number) {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// segmentFile is a segment that is being read.
type segmentFile struct {
	segment
	path     string
	data     []byte
	sequence uint64
	hard     raft.HardState
	offset   int64
	// isLast allows a torn tail.
	isLast bool
}

// readSegments returns the segments that hold entries after the snapshot. Older
// ones may be incomplete, because a crash may interrupt their removal.
func (l *Log) readSegments(numbers []uint64) ([]segmentFile, error) {
	var files []segmentFile
	for i := len(numbers) - 1; i >= 0; i-- {
		isLast := i == len(numbers)-1
		file, found, err := l.readSegment(numbers[i], isLast)
		if err != nil {
			return nil, err
		}
		if !found {
			continue
		}
		if len(files) > 0 && files[0].number != file.number+1 {
			return nil, missingSegment(files[0])
		}
		files = append([]segmentFile{file}, files...)
		if file.base.index <= l.snapshotIndex {
			return files, nil
		}
	}
	if len(files) > 0 {
		return nil, missingSegment(files[0])
	}
	return nil, nil
}

// removeUnused removes segments whose earlier removal was undone by a crash.
func (l *Log) removeUnused(numbers []uint64, files []segmentFile) error {
	for _, number := range numbers {
		if len(files) == 0 || number >= files[0].number {
			break
		}
		if err := l.fs.Remove(l.path(segmentName(number))); err != nil {
			return errors.Wrap(err, "wal: remove old segment")
		}
	}
	return nil
}

func missingSegment(next segmentFile) error {
	return &DamageError{File: next.path, Reason: "the segment before it is missing"}
}

// readSegment reads a segment and its header. A last segment whose header did not
// become durable is removed; found is false then.
func (l *Log) readSegment(number uint64, isLast bool) (file segmentFile, found bool, err error) {
	file = segmentFile{path: l.path(segmentName(number)), isLast: isLast}
	file.number = number
	if file.data, err = l.fs.ReadFile(file.path); err != nil {
		return file, false, errors.Wrap(err, "wal: read segment")
	}
	sequence, payload, size, ok := parseRecord(file.data)
	if !ok && isLast && !holdsRecordAfter(file.data, 0) {
		if err := l.fs.Remove(file.path); err != nil {
			return file, false, errors.Wrap(err, "wal: remove torn segment")
		}
		return file, false, nil
	}
	if ok {
		file.base, file.hard, ok = decodeHeader(payload)
	}
	if !ok {
		return file, false, &DamageError{File: file.path, Reason: "invalid header"}
	}
	file.sequence = sequence
	file.offset = size
	return file, true, nil
}

// replayed is the log as far as it was read.
type replayed struct {
	base    position
	entries []raft.Entry
}

func (r *replayed) last() position {
	if n := len(r.entries); n > 0 {
		return position{r.entries[n-1].Index, r.entries[n-1].Term}
	}
	return r.base
}

// replay applies the records in order and keeps the entries after the snapshot.
func (l *Log) replay(files []segmentFile, contents *Contents) error {
	log := &replayed{}
	for i := range files {
		file := &files[i]
		if i > 0 && file.sequence != l.sequence+1 {
			return &DamageError{File: file.path, Reason: "records before it are missing"}
		}
		if i == 0 {
			log.base = file.base
		}
		if file.base != log.last() {
			return &DamageError{File: file.path, Reason: "the header does not continue the log"}
		}
		l.sequence = file.sequence
		l.hard = file.hard
		l.segments = append(l.segments, file.segment)
		if err := l.replayFile(file, log); err != nil {
			return err
		}
	}
	return l.reconcile(log, contents)
}

func (l *Log) replayFile(file *segmentFile, log *replayed) error {
	for file.offset < int64(len(file.data)) {
		rest := file.data[file.offset:]
		sequence, payload, size, ok := parseRecord(rest)
		if !ok {
			if !file.isLast || holdsRecordAfter(rest[1:], l.sequence) {
				return &DamageError{File: file.path, Offset: file.offset, Reason: "invalid record"}
			}
			err := l.fs.Truncate(file.path, file.offset)
			return errors.Wrap(err, "wal: cut torn tail")
		}
		if sequence != l.sequence+1 {
			return &DamageError{File: file.path, Offset: file.offset, Reason: "record out of sequence"}
		}
		hard, entries, ok := decodeBatch(payload)
		if !ok || !log.add(entries) {
			return &DamageError{File: file.path, Offset: file.offset, Reason: "invalid batch"}
		}
		if hard != nil {
			l.hard = *hard
		}
		l.sequence = sequence
		file.offset += size
	}
	return nil
}

// add appends entries and replaces those with the same or a higher index; false
// when they leave a gap.
func (r *replayed) add(entries []raft.Entry) bool {
	for _, e := range entries {
		if e.Index > r.last().index+1 {
			return false
		}
		if e.Index <= r.base.index {
			// Entries up to the snapshot are replaced; the term before them is not needed.
			*r = replayed{base: position{index: e.Index - 1}}
		}
		r.entries = append(r.entries[:e.Index-r.base.index-1], e)
	}
	return true
}

// reconcile drops entries that the snapshot covers, or all of them when they do
// not continue the snapshot: it was installed, and the crash came before the
// segment that follows it.
func (l *Log) reconcile(log *replayed, contents *Contents) error {
	meta := contents.Snapshot.Meta
	if log.base.index > meta.Index {
		return &DamageError{File: l.dir, Reason: fmt.Sprintf("snapshot at index %d is missing", log.base.index)}
	}
	skip := meta.Index - log.base.index
	at := log.base
	if skip > 0 && skip <= uint64(len(log.entries)) {
		at = position{log.entries[skip-1].Index, log.entries[skip-1].Term}
	}
	if at == (position{meta.Index, meta.Term}) {
		contents.Entries = log.entries[skip:]
		l.last = log.last()
	} else {
		l.last = position{meta.Index, meta.Term}
	}
	l.hard.Commit = min(l.hard.Commit, l.last.index)
	contents.HardState = l.hard
	return nil
}
