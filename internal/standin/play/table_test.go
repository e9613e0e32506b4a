//go:build play

package play

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPlay runs the load named in WEIR_PLAY under every policy in simulated time
// and prints the table. It writes a plot to WEIR_PLAY_PLOT if set.
func TestPlay(t *testing.T) {
	ld, err := LoadByName(os.Getenv("WEIR_PLAY"))
	require.NoError(t, err)
	var results []Result
	for _, policy := range Policies() {
		for seed := range int64(3) {
			results = append(results, runSimulated(t, ld, policy, seed+1))
		}
	}
	require.NoError(t, Print(os.Stdout, results))
	if path := os.Getenv("WEIR_PLAY_PLOT"); path != "" {
		require.NoError(t, Plot(path, []Result{results[0], results[6], results[9]}))
	}
}
