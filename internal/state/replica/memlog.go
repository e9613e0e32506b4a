package replica

import "bytes"

// memLog holds the entries after the latest snapshot in memory.
type memLog struct {
	snapIndex uint64
	snapTerm  uint64
	snap      Snapshot
	entries   []Entry
}

func (ml *memLog) last() uint64 { return ml.snapIndex + uint64(len(ml.entries)) }

// term returns the term of the entry at index, 0 if the log does not hold it.
func (ml *memLog) term(index uint64) uint64 {
	if index == ml.snapIndex {
		return ml.snapTerm
	}
	if index < ml.snapIndex || index > ml.last() {
		return 0
	}
	return ml.entries[index-ml.snapIndex-1].Term
}

func (ml *memLog) append(ent Entry) { ml.entries = append(ml.entries, ent) }

// truncate drops all entries after index. It allocates a new backing array,
// since messages not sent yet may still hold slices of the old one.
func (ml *memLog) truncate(index uint64) {
	keep := ml.entries[:index-ml.snapIndex]
	ml.entries = append(make([]Entry, 0, len(keep)+maxBatchEntries), keep...)
}

// entriesFrom returns up to count entries starting at index, with at most size
// bytes of data, but at least one entry if there is any.
func (ml *memLog) entriesFrom(index uint64, count, size int) []Entry {
	if index <= ml.snapIndex || index > ml.last() {
		return nil
	}
	tail := ml.entries[index-ml.snapIndex-1:]
	total := 0
	for ix := range tail {
		total += len(tail[ix].Data)
		if ix >= count || (ix > 0 && total > size) {
			return tail[:ix:ix]
		}
	}
	return tail[:len(tail):len(tail)]
}

// compact drops the entries up to the snapshot's index.
func (ml *memLog) compact(snap Snapshot) {
	tail := ml.entries[snap.Index-ml.snapIndex:]
	ml.entries = append(make([]Entry, 0, len(tail)), tail...)
	ml.snapIndex = snap.Index
	ml.snapTerm = snap.Term
	ml.snap = snap
}

// hasReadmit reports whether the log holds an uncommitted readmit entry with
// this payload.
func (ml *memLog) hasReadmit(data []byte, commit uint64) bool {
	for index := max(commit, ml.snapIndex) + 1; index <= ml.last(); index++ {
		ent := ml.entries[index-ml.snapIndex-1]
		if ent.Kind == EntryReadmit && bytes.Equal(ent.Data, data) {
			return true
		}
	}
	return false
}
