//go:build play

package play

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPlay prints the table of all policies for the load that WEIR_PLAY names,
// in simulated time, and writes WEIR_PLAY_PLOT where that is set.
func TestPlay(t *testing.T) {
	ld, err := LoadByName(os.Getenv("WEIR_PLAY"))
	require.NoError(t, err)
	var results []Result
	for _, policy := range Policies() {
		for seed := range int64(3) {
			results = append(results, simulated(t, ld, policy, seed+1))
		}
	}
	require.NoError(t, Print(os.Stdout, results))
	if path := os.Getenv("WEIR_PLAY_PLOT"); path != "" {
		require.NoError(t, Plot(path, []Result{results[0], results[6], results[9]}))
	}
}
