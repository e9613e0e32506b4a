package wal

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/state/replica"
)

func entries(from, to uint64) []replica.Entry {
	var list []replica.Entry
	for ix := from; ix <= to; ix++ {
		list = append(list, replica.Entry{Index: ix, Term: 1, Kind: replica.EntryCommand, Data: []byte("command " + strconv.FormatUint(ix, 10))})
	}
	return list
}

// newFilledFolder returns a closed data folder with a hard state and five entries.
func newFilledFolder(t *testing.T) string {
	dir := t.TempDir()
	require.NoError(t, Format(dir, false))
	lg, st, err := Open(dir)
	require.NoError(t, err)
	hard := st.Hard
	hard.Term, hard.Vote = 3, "c2"
	require.NoError(t, lg.Append(&hard, entries(1, 5), 0))
	require.NoError(t, lg.Close())
	return dir
}

func TestReopenReadsHardStateAndEntries(t *testing.T) {
	dir := newFilledFolder(t)
	lg, st, err := Open(dir)
	require.NoError(t, err)
	defer lg.Close()
	require.Equal(t, uint64(3), st.Hard.Term)
	require.Equal(t, "c2", st.Hard.Vote)
	require.False(t, st.Hard.Learner)
	require.Equal(t, entries(1, 5), st.Entries)
}

// TestCommitIndexSurvivesRestart checks that the commit index is restored, so that
// a restart can apply committed entries before it contacts other members.
func TestCommitIndexSurvivesRestart(t *testing.T) {
	dir := newFilledFolder(t)
	lg, st, err := Open(dir)
	require.NoError(t, err)
	require.Zero(t, st.Commit)
	require.NoError(t, lg.Append(nil, entries(6, 7), 5))
	require.NoError(t, lg.Append(nil, entries(8, 8), 3), "a lower commit index is ignored")
	require.NoError(t, lg.Close())
	lg, st, err = Open(dir)
	require.NoError(t, err)
	defer lg.Close()
	require.Equal(t, uint64(5), st.Commit)
	require.Len(t, st.Entries, 8)
}

func TestEmptyFolderIsLearner(t *testing.T) {
	lg, st, err := Open(t.TempDir())
	require.NoError(t, err)
	defer lg.Close()
	require.True(t, st.Hard.Learner)
	require.NotEmpty(t, st.Hard.Disk)
}

func TestFormatTwiceIsRefused(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, Format(dir, false))
	require.True(t, errkind.Is(Format(dir, false), KindExists))
}

func TestSecondOpenIsRefused(t *testing.T) {
	dir := newFilledFolder(t)
	lg, _, err := Open(dir)
	require.NoError(t, err)
	defer lg.Close()
	_, _, err = Open(dir)
	require.True(t, errkind.Is(err, KindLocked))
}

func TestOverwrittenTail(t *testing.T) {
	dir := newFilledFolder(t)
	lg, _, err := Open(dir)
	require.NoError(t, err)
	replaced := replica.Entry{Index: 3, Term: 2, Kind: replica.EntryNoop}
	require.NoError(t, lg.Append(nil, []replica.Entry{replaced}, 0))
	require.NoError(t, lg.Close())
	lg, st, err := Open(dir)
	require.NoError(t, err)
	defer lg.Close()
	require.Equal(t, append(entries(1, 2), replaced), st.Entries)
}

func TestDamagedLog(t *testing.T) {
	cases := []struct {
		name   string
		damage func(body []byte) []byte
		kept   int // number of entries read; -1 if Open must fail
	}{
		{"last byte missing", func(body []byte) []byte { return body[:len(body)-1] }, 4},
		{"half of the last header", func(body []byte) []byte { return append(body, 9, 0, 0) }, 5},
		{"zeros after the end", func(body []byte) []byte { return append(body, make([]byte, 512)...) }, 5},
		{"last byte flipped", func(body []byte) []byte { body[len(body)-2] ^= 1; return body }, 4},
		{"byte in the middle flipped", func(body []byte) []byte { body[len(body)/2] ^= 1; return body }, -1},
		{"length in the middle wrong", func(body []byte) []byte { body[1] ^= 1; return body }, -1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			dir := newFilledFolder(t)
			path := filepath.Join(dir, logName(0))
			body, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, tc.damage(body), fileMode))
			lg, st, err := Open(dir)
			if tc.kept < 0 {
				require.True(t, errkind.Is(err, KindCorrupt), "got %v", err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, entries(1, uint64(tc.kept)), st.Entries)
			info, err := os.Stat(path)
			require.NoError(t, err)
			require.Equal(t, lg.Size(), info.Size(), "the file ends with the last record")
			require.NoError(t, lg.Append(nil, entries(uint64(tc.kept)+1, uint64(tc.kept)+1), 0))
			require.NoError(t, lg.Close())
			lg, st, err = Open(dir)
			require.NoError(t, err)
			defer lg.Close()
			require.Len(t, st.Entries, tc.kept+1)
		})
	}
}

// TestCrashBetweenSnapshotFiles opens a folder as a crash in SaveSnapshot leaves
// it, with the new snapshot but the old log file.
func TestCrashBetweenSnapshotFiles(t *testing.T) {
	dir := newFilledFolder(t)
	require.NoError(t, writeFile(dir, snapshotName, []any{replica.Snapshot{Index: 3, Term: 1, Data: []byte("state")}}))
	require.NoError(t, os.WriteFile(filepath.Join(dir, logName(3)+".tmp"), []byte("half"), fileMode))
	lg, st, err := Open(dir)
	require.NoError(t, err)
	defer lg.Close()
	require.Equal(t, uint64(3), st.Snapshot.Index)
	require.Equal(t, entries(4, 5), st.Entries)
	require.Equal(t, uint64(3), st.Hard.Term)
}

func TestSnapshotKeepsTail(t *testing.T) {
	dir := newFilledFolder(t)
	lg, st, err := Open(dir)
	require.NoError(t, err)
	snap := replica.Snapshot{Index: 4, Term: 1, Data: []byte("state")}
	require.NoError(t, lg.SaveSnapshot(st.Hard, snap, entries(5, 5)))
	require.NoError(t, lg.Append(nil, entries(6, 6), 0))
	require.NoError(t, lg.Close())
	lg, st, err = Open(dir)
	require.NoError(t, err)
	defer lg.Close()
	require.Equal(t, snap, st.Snapshot)
	require.Equal(t, entries(5, 6), st.Entries)
	require.Equal(t, uint64(3), st.Hard.Term)
}

func BenchmarkAppendSynced(b *testing.B) {
	for _, batch := range []uint64{1, 16, 256} {
		b.Run(strconv.FormatUint(batch, 10), func(b *testing.B) {
			dir := b.TempDir()
			require.NoError(b, Format(dir, false))
			lg, _, err := Open(dir)
			require.NoError(b, err)
			defer lg.Close()
			for ix := 0; b.Loop(); ix++ {
				first := uint64(ix)*batch + 1
				require.NoError(b, lg.Append(nil, entries(first, first+batch-1), 0))
			}
			b.ReportMetric(float64(b.N)*float64(batch)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

func BenchmarkRecovery(b *testing.B) {
	for _, count := range []uint64{1000, 10_000, 100_000} {
		b.Run(strconv.FormatUint(count, 10), func(b *testing.B) {
			dir := b.TempDir()
			require.NoError(b, Format(dir, false))
			lg, _, err := Open(dir)
			require.NoError(b, err)
			require.NoError(b, lg.Append(nil, entries(1, count), 0))
			require.NoError(b, lg.Close())
			for b.Loop() {
				lg, st, err := Open(dir)
				require.NoError(b, err)
				require.Len(b, st.Entries, int(count))
				require.NoError(b, lg.Close())
			}
		})
	}
}
