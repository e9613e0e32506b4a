// Package wal stores a member's hard state, log and snapshot in one data folder.
// All writes are synced before they return. Open truncates a torn record at the
// end, which a crash in the middle of a write leaves. It refuses a damaged record
// that valid records follow, since those may have been acknowledged.
//
// Files: LOCK, snapshot, and log-<hex index>, which holds the entries after that
// index.
//
// Usage:
//
//	err := wal.Format(dir, false)          // once, when the cluster is created
//	lg, st, err := wal.Open(dir)           // an empty folder opens as a learner
//	err = lg.Append(&hard, entries, commit) // one sync
//	err = lg.SaveSnapshot(hard, snap, tail)
package wal

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"syscall"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/state/replica"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Kind classifies the errors of this package.
type Kind string

// Error kinds.
const (
	KindLocked  Kind = "data folder is in use by another process"
	KindCorrupt Kind = "damaged record in the middle of the log"
	KindExists  Kind = "data folder already holds a log"
	KindIO      Kind = "input or output failed"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	lockName     = "LOCK"
	snapshotName = "snapshot"
	logPrefix    = "log-"
	folderMode   = 0o750
	fileMode     = 0o640
)

// State is the content of a data folder.
type State struct {
	Hard     replica.HardState
	Snapshot replica.Snapshot
	Entries  []replica.Entry
	// Commit is the last recorded commit index.
	Commit uint64
	// TornBytes is the number of bytes truncated from the end of the log.
	TornBytes int64
}

// Log is an open data folder.
type Log struct {
	dir  string
	lock *os.File
	file *os.File
	size int64
	// commit is the last commit index written.
	commit uint64
}

// Format creates the log of a voting member of a new cluster, or of a learner. It
// returns KindExists if the folder already holds a log.
func Format(dir string, learner bool) error {
	return format(dir, replica.HardState{Learner: learner})
}

// FormatInitial creates the log of a voting member of a new cluster and stores
// the cluster's initial voters in it.
func FormatInitial(dir string, voters []string) error {
	return format(dir, replica.HardState{Initial: voters})
}

// Formatted reports whether the folder holds a log.
func Formatted(dir string) (bool, error) {
	name, err := newestLogFile(dir)
	return name != "", err
}

func format(dir string, hard replica.HardState) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return &Error{Op: "format " + dir, Kind: KindIO, Err: err}
	}
	name, err := newestLogFile(dir)
	if err != nil {
		return err
	}
	if name != "" {
		return &Error{Op: "format " + dir, Kind: KindExists}
	}
	hard.Disk = uuid.NewString()
	return writeFile(dir, logName(0), []any{record{Hard: &hard}})
}

// Open locks and reads a data folder. It formats an empty one for a learner.
func Open(dir string) (*Log, State, error) {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, State{}, &Error{Op: "open " + dir, Kind: KindIO, Err: err}
	}
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, State{}, err
	}
	lg := &Log{dir: dir, lock: lock}
	st, err := lg.load()
	if err != nil {
		_ = lock.Close()
		return nil, State{}, err
	}
	return lg, st, nil
}

// lockFolder takes an exclusive lock, which the kernel releases when the process
// ends.
func lockFolder(dir string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, &Error{Op: "lock " + dir, Kind: KindIO, Err: err}
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, &Error{Op: "lock " + dir, Kind: KindLocked, Err: err}
	}
	return lock, nil
}

func (lg *Log) load() (State, error) {
	name, err := newestLogFile(lg.dir)
	if err != nil {
		return State{}, err
	}
	if name == "" {
		if err := Format(lg.dir, true); err != nil {
			return State{}, err
		}
		name = logName(0)
	}
	st := State{}
	if st.Snapshot, err = readSnapshot(lg.dir); err != nil {
		return State{}, err
	}
	lg.file, err = os.OpenFile(filepath.Join(lg.dir, name), os.O_RDWR, fileMode)
	if err != nil {
		return State{}, &Error{Op: "open " + name, Kind: KindIO, Err: err}
	}
	if err := lg.replay(&st); err != nil {
		return State{}, err
	}
	return st, nil
}

// replay reads the log file and truncates a torn record at its end.
func (lg *Log) replay(st *State) error {
	rd := bufio.NewReaderSize(lg.file, 1<<20)
	for {
		body, err := readRecord(rd)
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, errTorn) {
			if err := lg.truncateTornTail(st); err != nil {
				return err
			}
			break
		}
		var rec record
		if err := json.Unmarshal(body, &rec); err != nil {
			return &Error{Op: "decode record", Kind: KindCorrupt, Err: err}
		}
		lg.size += int64(headerBytes + len(body))
		st.addRecord(rec)
	}
	if _, err := lg.file.Seek(lg.size, io.SeekStart); err != nil {
		return &Error{Op: "seek", Kind: KindIO, Err: err}
	}
	return nil
}

// addRecord applies a record of the log file. An entry replaces the entries from
// its index on.
func (st *State) addRecord(rec record) {
	if rec.Hard != nil {
		st.Hard = *rec.Hard
	}
	st.Commit = max(st.Commit, rec.Commit)
	ent := rec.Entry
	if ent == nil || ent.Index <= st.Snapshot.Index {
		return
	}
	keep := ent.Index - st.Snapshot.Index - 1
	if keep > uint64(len(st.Entries)) {
		// A gap holds only entries that an installed snapshot replaced.
		return
	}
	st.Entries = append(st.Entries[:keep], *ent)
}

// truncateTornTail truncates the file after the last valid record. It returns
// KindCorrupt if another valid record follows the damage.
func (lg *Log) truncateTornTail(st *State) error {
	info, err := lg.file.Stat()
	if err != nil {
		return &Error{Op: "stat", Kind: KindIO, Err: err}
	}
	rest := make([]byte, info.Size()-lg.size)
	if _, err := lg.file.ReadAt(rest, lg.size); err != nil && !errors.Is(err, io.EOF) {
		return &Error{Op: "read tail", Kind: KindIO, Err: err}
	}
	if containsRecord(rest) {
		return &Error{Op: fmt.Sprintf("read log at byte %d", lg.size), Kind: KindCorrupt}
	}
	st.TornBytes = int64(len(rest))
	if err := lg.file.Truncate(lg.size); err != nil {
		return &Error{Op: "truncate tail", Kind: KindIO, Err: err}
	}
	if err := lg.file.Sync(); err != nil {
		return &Error{Op: "sync", Kind: KindIO, Err: err}
	}
	return nil
}

// containsRecord reports whether a valid record starts after the first byte.
func containsRecord(rest []byte) bool {
	for at := 1; at+headerBytes < len(rest); at++ {
		if rest[at+headerBytes] != '{' {
			continue
		}
		rd := bufio.NewReader(strings.NewReader(string(rest[at:min(len(rest), at+maxProbeBytes)])))
		if _, err := readRecord(rd); err == nil {
			return true
		}
	}
	return false
}

// maxProbeBytes bounds the size of records that are searched for after damage.
const maxProbeBytes = 1 << 20

// Append writes the hard state if not nil, the entries, and the commit index if it
// is higher than the last one, with one sync.
func (lg *Log) Append(hard *replica.HardState, entries []replica.Entry, commit uint64) error {
	var buf []byte
	var err error
	if hard != nil {
		if buf, err = appendRecord(buf, record{Hard: hard}); err != nil {
			return &Error{Op: "encode", Kind: KindIO, Err: err}
		}
	}
	for ix := range entries {
		if buf, err = appendRecord(buf, record{Entry: &entries[ix]}); err != nil {
			return &Error{Op: "encode", Kind: KindIO, Err: err}
		}
	}
	if commit > lg.commit {
		lg.commit = commit
		if buf, err = appendRecord(buf, record{Commit: commit}); err != nil {
			return &Error{Op: "encode", Kind: KindIO, Err: err}
		}
	}
	if _, err := lg.file.Write(buf); err != nil {
		return &Error{Op: "append", Kind: KindIO, Err: err}
	}
	lg.size += int64(len(buf))
	if err := lg.file.Sync(); err != nil {
		return &Error{Op: "sync", Kind: KindIO, Err: err}
	}
	return nil
}

// SaveSnapshot stores the snapshot and starts a new log file with the entries
// after it. After a crash at any point, Open finds the old or the new state.
func (lg *Log) SaveSnapshot(hard replica.HardState, snap replica.Snapshot, tail []replica.Entry) error {
	if err := writeFile(lg.dir, snapshotName, []any{snap}); err != nil {
		return err
	}
	records := []any{record{Hard: &hard}}
	for ix := range tail {
		records = append(records, record{Entry: &tail[ix]})
	}
	name := logName(snap.Index)
	if err := writeFile(lg.dir, name, records); err != nil {
		return err
	}
	file, err := os.OpenFile(filepath.Join(lg.dir, name), os.O_RDWR, fileMode)
	if err != nil {
		return &Error{Op: "open " + name, Kind: KindIO, Err: err}
	}
	size, err := file.Seek(0, io.SeekEnd)
	if err != nil {
		return &Error{Op: "seek", Kind: KindIO, Err: err}
	}
	old := lg.file
	lg.file, lg.size = file, size
	_ = old.Close()
	if old.Name() != file.Name() {
		_ = os.Remove(old.Name())
	}
	return nil
}

// Size returns the size of the current log file in bytes.
func (lg *Log) Size() int64 { return lg.size }

// Close closes the log file and unlocks the folder.
func (lg *Log) Close() error {
	err := lg.file.Close()
	if lockErr := lg.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}

func logName(index uint64) string { return fmt.Sprintf("%s%016x", logPrefix, index) }

// newestLogFile returns the name of the log file with the highest index, "" if
// there is none.
func newestLogFile(dir string) (string, error) {
	names, err := filepath.Glob(filepath.Join(dir, logPrefix+"????????????????"))
	if err != nil || len(names) == 0 {
		return "", err
	}
	sort.Strings(names)
	return filepath.Base(names[len(names)-1]), nil
}

func readSnapshot(dir string) (replica.Snapshot, error) {
	file, err := os.Open(filepath.Join(dir, snapshotName))
	if errors.Is(err, os.ErrNotExist) {
		return replica.Snapshot{}, nil
	}
	if err != nil {
		return replica.Snapshot{}, &Error{Op: "open snapshot", Kind: KindIO, Err: err}
	}
	defer func() { _ = file.Close() }()
	body, err := readRecord(bufio.NewReader(file))
	if err != nil {
		return replica.Snapshot{}, &Error{Op: "read snapshot", Kind: KindCorrupt, Err: err}
	}
	var snap replica.Snapshot
	if err := json.Unmarshal(body, &snap); err != nil {
		return replica.Snapshot{}, &Error{Op: "decode snapshot", Kind: KindCorrupt, Err: err}
	}
	return snap, nil
}

// writeFile atomically replaces a file: it writes and syncs a temporary file,
// renames it and syncs the folder.
func writeFile(dir, name string, records []any) error {
	var buf []byte
	var err error
	for _, rec := range records {
		if buf, err = appendRecord(buf, rec); err != nil {
			return &Error{Op: "encode " + name, Kind: KindIO, Err: err}
		}
	}
	temp := filepath.Join(dir, name+".tmp")
	if err := writeSynced(temp, buf); err != nil {
		return &Error{Op: "write " + name, Kind: KindIO, Err: err}
	}
	if err := os.Rename(temp, filepath.Join(dir, name)); err != nil {
		return &Error{Op: "rename " + name, Kind: KindIO, Err: err}
	}
	if err := syncFolder(dir); err != nil {
		return &Error{Op: "sync folder", Kind: KindIO, Err: err}
	}
	return nil
}

func writeSynced(path string, buf []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write(buf); err != nil {
		return err
	}
	return file.Sync()
}

// syncFolder makes created and renamed files of a folder durable.
func syncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	return folder.Sync()
}
