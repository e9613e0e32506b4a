package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/contract/jobhttp"
)

// TestTeamRows guards against a missing cap that is shown as a cap of nothing.
func TestTeamRows(t *testing.T) {
	require.Equal(t, [][]string{
		{"counters", "2.5", "500/4000m", "64MB/-", "0/-", "3", "1", "true"},
		{"gone", "0", "0m/-", "0MB/-", "0/-", "0", "2", "false"},
	}, teamRows(jobhttp.TeamList{Teams: []jobhttp.TeamStatus{
		{
			Name: "counters", Weight: 2.5, Cap: jobhttp.Resources{MilliCPU: 4000}, Use: jobhttp.Resources{MilliCPU: 500, MemoryMB: 64},
			PendingJobs: 3, RunningJobs: 1,
		},
		{Name: "gone", RunningJobs: 2, Removed: true},
	}}))
}

// TestKeyOfCaller guards against calls without a key although a source names one.
func TestKeyOfCaller(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(file, []byte("from-the-file\n"), 0o600))
	t.Setenv(keyVariable, "")
	key, err := (&keyFlags{}).key()
	require.NoError(t, err)
	require.Empty(t, key)
	t.Setenv(keyVariable, "from-the-environment")
	key, err = (&keyFlags{}).key()
	require.NoError(t, err)
	require.Equal(t, auth.Key("from-the-environment"), key)
	key, err = (&keyFlags{KeyFile: file}).key()
	require.NoError(t, err)
	require.Equal(t, auth.Key("from-the-file"), key, "the file goes before the environment")

	require.NoError(t, os.WriteFile(file, []byte(" \n"), 0o600))
	for _, path := range []string{file, file + "-missing"} {
		_, err = (&keyFlags{KeyFile: path}).key()
		require.Error(t, err)
	}
}
