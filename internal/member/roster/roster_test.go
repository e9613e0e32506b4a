package roster

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNext(t *testing.T) {
	voters := map[string]string{"a": "", "b": "", "c": ""}
	four := map[string]string{"a": "", "b": "", "c": "", "d": "disk-d"}
	silent := 3 * time.Second
	cases := map[string]struct {
		voters  map[string]string
		spares  map[string]string
		silence map[string]time.Duration
		want    []string
	}{
		"all well":                      {voters, map[string]string{"d": "disk-d"}, nil, nil},
		"a voter is silent for a while": {voters, map[string]string{"d": "disk-d"}, map[string]time.Duration{"c": time.Second}, nil},
		"a spare takes part first": {
			voters, map[string]string{"d": "disk-d"}, map[string]time.Duration{"c": silent}, []string{"a", "b", "c", "d"},
		},
		"then the silent voter goes": {four, nil, map[string]time.Duration{"c": silent}, []string{"a", "b", "d"}},
		"or any but the leader":      {four, nil, nil, []string{"a", "b", "c"}},
		"no spare, no change":        {voters, nil, map[string]time.Duration{"c": silent}, nil},
		"a spare that is silent too": {
			voters, map[string]string{"d": "disk-d"}, map[string]time.Duration{"c": silent, "d": silent}, nil,
		},
		"the leader's own silence means nothing": {voters, map[string]string{"d": "disk-d"}, map[string]time.Duration{"a": silent}, nil},
		"too few voters":                         {map[string]string{"a": ""}, map[string]string{"d": "disk-d"}, nil, []string{"a", "d"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			next, _ := Next("a", tc.voters, tc.spares, tc.silence, 3)
			if tc.want == nil {
				require.Nil(t, next)
				return
			}
			require.Equal(t, tc.want, slices.Sorted(maps.Keys(next)))
		})
	}
}
