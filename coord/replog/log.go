package replog

import (
	"fmt"
	"slices"
)

// entryOverhead is the size in bytes counted for each entry in addition to its
// data.
const entryOverhead = 32

// entryLog is the in-memory log: the entries after a compacted prefix.
type entryLog struct {
	// prefixIndex and prefixTerm are the index and term of the last compacted entry.
	prefixIndex uint64
	prefixTerm  uint64
	entries     []Entry
}

func (l *entryLog) lastIndex() uint64 { return l.prefixIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an entry, or false if the entry is compacted or
// beyond the end of the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.prefixIndex {
		return l.prefixTerm, true
	}
	if index < l.prefixIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.prefixIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	found, ok := l.term(index)
	return ok && found == term
}

// slice returns the entries from first to last inclusive, which must be in
// memory.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return slices.Clone(l.entries[first-l.prefixIndex-1 : last-l.prefixIndex])
}

// batch returns the entries starting at from, up to maxBytes but at least one
// entry.
func (l *entryLog) batch(from uint64, maxBytes int) []Entry {
	size, last := 0, from-1
	for last < l.lastIndex() {
		size += entryOverhead + len(l.entries[last-l.prefixIndex].Data)
		if size > maxBytes && last >= from {
			break
		}
		last++
	}
	return l.slice(from, last)
}

// append adds contiguous entries after dropping existing ones at and after the
// first new index.
func (l *entryLog) append(entries []Entry) {
	first := entries[0].Index
	if first <= l.prefixIndex || first > l.lastIndex()+1 {
		panic(fmt.Sprintf("append at index %d outside the log range (%d, %d]", first, l.prefixIndex, l.lastIndex()))
	}
	kept := l.entries[:first-l.prefixIndex-1]
	l.entries = append(kept, entries...)
}

// conflict returns the largest index at or below the given one whose term does
// not exceed the given term: no later entry can match. An index before the
// compacted prefix is returned unchanged.
func (l *entryLog) conflict(index, term uint64) (hintIndex, hintTerm uint64) {
	index = min(index, l.lastIndex())
	for ; index > l.prefixIndex; index-- {
		if found, _ := l.term(index); found <= term {
			return index, found
		}
	}
	if index < l.prefixIndex {
		return index, 0
	}
	return l.prefixIndex, l.prefixTerm
}

func (l *entryLog) compact(index uint64) {
	if index <= l.prefixIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.prefixIndex:])
	l.prefixIndex, l.prefixTerm = index, term
}

func (l *entryLog) reset(index, term uint64) {
	l.prefixIndex, l.prefixTerm, l.entries = index, term, nil
}

// bytesAfter returns the data size in bytes of the entries after an index.
func (l *entryLog) bytesAfter(index uint64) int {
	size := 0
	for _, e := range l.entries[max(index, l.prefixIndex)-l.prefixIndex:] {
		size += len(e.Data)
	}
	return size
}
