package raft

import (
	"sort"

	"github.com/pkg/errors"
)

// entryOverheadBytes is added to the data of an entry when batches are sized.
const entryOverheadBytes = 32

// memoryLog holds the entries after offset. Configurations take effect when
// they are appended and are rolled back when their entry is replaced.
type memoryLog struct {
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// stable is the last index known to be durable on this member.
	stable    uint64
	committed uint64
	// configs holds the configuration at offset, then one item for each EntryConfig.
	configs []configAt
}

type configAt struct {
	index  uint64
	config Configuration
}

func newMemoryLog(meta SnapshotMeta, entries []Entry) (*memoryLog, error) {
	l := &memoryLog{}
	l.reset(meta)
	for i, e := range entries {
		if e.Index != meta.Index+uint64(i)+1 {
			return nil, errors.WithMessagef(ErrState, "entry %d follows %d", e.Index, l.lastIndex())
		}
		if e.Kind == EntryConfig {
			if _, err := DecodeConfiguration(e.Data); err != nil {
				return nil, errors.WithMessagef(ErrState, "configuration at %d", e.Index)
			}
		}
		l.push(e)
	}
	l.stable = l.lastIndex()
	return l, nil
}

// reset replaces the log by a snapshot.
func (l *memoryLog) reset(meta SnapshotMeta) {
	l.offset = meta.Index
	l.offsetTerm = meta.Term
	l.entries = nil
	l.stable = meta.Index
	l.committed = meta.Index
	l.configs = []configAt{{meta.Index, meta.Configuration}}
}

func (l *memoryLog) lastIndex() uint64 {
	return l.offset + uint64(len(l.entries))
}

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an entry; false when the log does not hold it.
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
	have, ok := l.term(index)
	return ok && have == term
}

// isUpToDate reports whether a log that ends in (index, term) is at least as complete.
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

// configBefore returns the configuration in force at the index.
func (l *memoryLog) configBefore(index uint64) Configuration {
	i := sort.Search(len(l.configs), func(i int) bool { return l.configs[i].index > index })
	return l.configs[max(i-1, 0)].config
}

func (l *memoryLog) push(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind != EntryConfig {
		return
	}
	// Entries from peers are checked before they are stored.
	config, err := DecodeConfiguration(e.Data)
	if err == nil {
		l.configs = append(l.configs, configAt{e.Index, config})
	}
}

// merge appends entries from a leader and replaces a conflicting suffix. Entries
// that are already present are kept: a delayed message must not shorten the log.
func (l *memoryLog) merge(entries []Entry) {
	for _, e := range entries {
		if l.matches(e.Index, e.Term) {
			continue
		}
		l.truncate(e.Index)
		l.push(e)
	}
}

// truncate removes the entries from index on.
func (l *memoryLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	// A full slice expression makes later appends copy, because a Ready may still
	// refer to the removed entries.
	keep := index - l.offset - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
	for l.configIndex() >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// slice returns entries from the index on, at least one if there is any, then up to maxBytes.
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

// compact drops the entries up to and including index.
func (l *memoryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.offset {
		return
	}
	base := l.configBefore(index)
	l.entries = append([]Entry(nil), l.entries[index-l.offset:]...)
	l.offset = index
	l.offsetTerm = term
	configs := []configAt{{index, base}}
	for _, c := range l.configs {
		if c.index > index {
			configs = append(configs, c)
		}
	}
	l.configs = configs
}

// lastNotAfter returns the last entry at or before index whose term is at most
// term; it is used to skip conflicting terms in few round trips.
func (l *memoryLog) lastNotAfter(index, term uint64) (uint64, uint64) {
	for i := min(index, l.lastIndex()); i > l.offset; i-- {
		if have, _ := l.term(i); have <= term {
			return i, have
		}
	}
	return l.offset, l.offsetTerm
}
