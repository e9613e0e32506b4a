package handler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStateLimit guards against jobs that take a replica over its memory, and against
// heavy jobs that leave no room for others.
func TestStateLimit(t *testing.T) {
	const limit = 64 << 20
	cases := map[string]struct {
		stored, pending, weight int64
		fits                    bool
	}{
		"empty":                                   {0, 0, 10_000, true},
		"up to the limit":                         {limit - 10_000, 0, 10_000, true},
		"over the limit":                          {limit - 9_999, 0, 10_000, false},
		"with those that are being committed":     {limit - 20_000, 10_001, 10_000, false},
		"a heavy one in its part of the limit":    {limit/4*3 - heavyWeight - 1, 0, heavyWeight + 1, true},
		"a heavy one where there is room to keep": {limit/4*3 - heavyWeight, 0, heavyWeight + 1, false},
		"a light one there":                       {limit / 4 * 3, 0, heavyWeight, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sl := StateLimit{Bytes: limit, pending: tc.pending}
			require.Equal(t, tc.fits, sl.reserve(tc.stored, tc.weight))
			if tc.fits {
				sl.release(tc.weight)
			}
			require.Equal(t, tc.pending, sl.pending, "nothing stays reserved")
		})
	}
	sl := StateLimit{Bytes: limit}
	require.Empty(t, sl.tooHeavy(limit/jobShare))
	require.Contains(t, sl.tooHeavy(limit/jobShare+1), "at most 16777216")
}
