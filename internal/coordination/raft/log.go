package raft

import (
	"sort"

	"github.com/pkg/errors"
)

// entryOverheadBytes is counted in addition to the data of each entry when the size of a
// batch is limited.
const entryOverheadBytes = 32

// memoryLog holds the log entries after offset. A configuration takes effect when its
// entry is appended and is rolled back when the entry is truncated.
type memoryLog struct {
	// offset is the index of the last entry before entries, offsetTerm its term.
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// stable is the highest index known to be durable on this member.
	stable uint64
	// committed is the commit index.
	committed uint64
	// configs holds the configuration at offset and then that of each EntryConfig.
	configs []indexedConfig
}

// indexedConfig is a configuration and the index from which it is in effect.
type indexedConfig struct {
	index  uint64
	config Configuration
}

func newMemoryLog(meta SnapshotMeta, entries []Entry) (*memoryLog, error) {
	l := &memoryLog{}
	l.reset(meta)
	for i, e := range entries {
		if e.Index != meta.Index+uint64(i)+1 {
			return nil, errors.WithMessagef(ErrState, "log entry %d follows entry %d", e.Index, l.lastIndex())
		}
		if e.Kind == EntryConfig {
			if _, err := DecodeConfiguration(e.Data); err != nil {
				return nil, errors.WithMessagef(ErrState, "cannot decode the configuration in log entry %d", e.Index)
			}
		}
		l.appendEntry(e)
	}
	l.stable = l.lastIndex()
	return l, nil
}

// reset replaces the whole log by a snapshot.
func (l *memoryLog) reset(meta SnapshotMeta) {
	l.offset = meta.Index
	l.offsetTerm = meta.Term
	l.entries = nil
	l.stable = meta.Index
	l.committed = meta.Index
	l.configs = []indexedConfig{{meta.Index, meta.Configuration}}
}

func (l *memoryLog) lastIndex() uint64 {
	return l.offset + uint64(len(l.entries))
}

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if the index is before offset or
// after the last entry.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *memoryLog) matches(index, term uint64) bool {
	entryTerm, ok := l.term(index)
	return ok && entryTerm == term
}

// isUpToDate reports whether a log whose last entry has the given index and term is at
// least as up-to-date as this one.
func (l *memoryLog) isUpToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || (term == lastTerm && index >= l.lastIndex())
}

func (l *memoryLog) config() Configuration {
	return l.configs[len(l.configs)-1].config
}

func (l *memoryLog) configIndex() uint64 {
	return l.configs[len(l.configs)-1].index
}

// configAtIndex returns the configuration in effect at the index.
func (l *memoryLog) configAtIndex(index uint64) Configuration {
	i := sort.Search(len(l.configs), func(i int) bool { return l.configs[i].index > index })
	return l.configs[max(i-1, 0)].config
}

func (l *memoryLog) appendEntry(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind != EntryConfig {
		return
	}
	// Step checks the configurations in entries of other members before they are appended.
	config, err := DecodeConfiguration(e.Data)
	if err == nil {
		l.configs = append(l.configs, indexedConfig{e.Index, config})
	}
}

// merge appends entries from a leader and replaces a conflicting suffix. Entries that are
// already present are kept: a delayed message must not truncate the log.
func (l *memoryLog) merge(entries []Entry) {
	for _, e := range entries {
		if l.matches(e.Index, e.Term) {
			continue
		}
		l.truncate(e.Index)
		l.appendEntry(e)
	}
}

// truncate removes the entry at index and all later ones.
func (l *memoryLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	// The full slice expression makes the next append copy, because a Ready may still
	// refer to the removed entries.
	count := index - l.offset - 1
	l.entries = l.entries[:count:count]
	l.stable = min(l.stable, index-1)
	for l.configIndex() >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// slice returns the entries from index from to index to, limited to maxBytes, but always
// at least one if there is any.
func (l *memoryLog) slice(from, to uint64, maxBytes int) []Entry {
	if from > to || from <= l.offset {
		return nil
	}
	all := l.entries[from-l.offset-1 : to-l.offset]
	size := 0
	for i, e := range all {
		size += len(e.Data) + entryOverheadBytes
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// compact discards the entries up to and including index.
func (l *memoryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.offset {
		return
	}
	baseConfig := l.configAtIndex(index)
	l.entries = append([]Entry(nil), l.entries[index-l.offset:]...)
	l.offset = index
	l.offsetTerm = term
	configs := []indexedConfig{{index, baseConfig}}
	for _, c := range l.configs {
		if c.index > index {
			configs = append(configs, c)
		}
	}
	l.configs = configs
}

// findConflictByTerm returns the index and term of the last entry at or before index whose
// term is at most term. It lets the leader skip whole conflicting terms, so that the
// matching entry is found in few round trips.
func (l *memoryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	for i := min(index, l.lastIndex()); i > l.offset; i-- {
		if entryTerm, _ := l.term(i); entryTerm <= term {
			return i, entryTerm
		}
	}
	return l.offset, l.offsetTerm
}
