package roster

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNextVoters(t *testing.T) {
	voters := map[string]string{"a": "", "b": "", "c": ""}
	four := map[string]string{"a": "", "b": "", "c": "", "d": "disk-d"}
	unreachable := 3 * time.Second
	cases := map[string]struct {
		voters       map[string]string
		nonVoters    map[string]string
		sinceContact map[string]time.Duration
		want         []string
	}{
		"all voters are reachable":                {voters, map[string]string{"d": "disk-d"}, nil, nil},
		"a voter is unreachable for a short time": {voters, map[string]string{"d": "disk-d"}, map[string]time.Duration{"c": time.Second}, nil},
		"first a non-voter is added": {
			voters, map[string]string{"d": "disk-d"}, map[string]time.Duration{"c": unreachable}, []string{"a", "b", "c", "d"},
		},
		"then the unreachable voter is removed":                            {four, nil, map[string]time.Duration{"c": unreachable}, []string{"a", "b", "d"}},
		"without an unreachable voter, another than the leader is removed": {four, nil, nil, []string{"a", "b", "c"}},
		"no change without a non-voter":                                    {voters, nil, map[string]time.Duration{"c": unreachable}, nil},
		"the non-voter is unreachable too": {
			voters, map[string]string{"d": "disk-d"}, map[string]time.Duration{"c": unreachable, "d": unreachable}, nil,
		},
		"the leader itself never counts as unreachable": {voters, map[string]string{"d": "disk-d"}, map[string]time.Duration{"a": unreachable}, nil},
		"too few voters": {map[string]string{"a": ""}, map[string]string{"d": "disk-d"}, nil, []string{"a", "d"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			next, _ := NextVoters("a", tc.voters, tc.nonVoters, tc.sinceContact, 3)
			if tc.want == nil {
				require.Nil(t, next)
				return
			}
			require.Equal(t, tc.want, slices.Sorted(maps.Keys(next)))
		})
	}
}
