package slopes

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPageMatchesReport guards against a table in docs/CAPACITY.md that differs
// from the stored report, after a change of the report, the table or the page.
func TestPageMatchesReport(t *testing.T) {
	rep, err := Read("../../../docs/slopes.json")
	require.NoError(t, err)
	want, err := Table(rep)
	require.NoError(t, err)
	got, err := PageTable("../../../docs/CAPACITY.md")
	require.NoError(t, err)
	require.Equal(t, strings.TrimSpace(want), got, "run make slopes")
}

func TestFitLine(t *testing.T) {
	sl := fitLine(Slope{Points: []Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 10, Value: 23}}})
	require.InDelta(t, 3, sl.Base, 1e-9)
	require.InDelta(t, 2, sl.Slope, 1e-9)
	require.InDelta(t, 0, sl.Residual, 1e-9)
	sl = fitLine(Slope{Points: []Point{{Size: 0, Value: 0}, {Size: 1, Value: 2}, {Size: 2, Value: 1}}})
	require.Positive(t, sl.Residual)
}
