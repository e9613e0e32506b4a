package roster

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNextVoters guards against a set of voters that shrinks, or that loses a sound
// voter while another one is gone.
func TestNextVoters(t *testing.T) {
	voters := map[string]string{"a": "", "b": "", "c": ""}
	four := map[string]string{"a": "", "b": "", "c": "", "d": "disk-d"}
	spare := map[string]string{"d": "disk-d"}
	unreachable := 3 * time.Second
	cases := map[string]struct {
		ms   Membership
		want []string
	}{
		"all voters are reachable":                {Membership{Voters: voters, NonVoters: spare}, nil},
		"a voter is unreachable for a short time": {Membership{Voters: voters, NonVoters: spare, SinceContact: map[string]time.Duration{"c": time.Second}}, nil},
		"first a non-voter is added": {
			Membership{Voters: voters, NonVoters: spare, SinceContact: map[string]time.Duration{"c": unreachable}}, []string{"a", "b", "c", "d"},
		},
		"then the unreachable voter is removed": {
			Membership{Voters: four, SinceContact: map[string]time.Duration{"c": unreachable}}, []string{"a", "b", "d"},
		},
		"without an unreachable voter, another than the leader is removed": {Membership{Voters: four}, []string{"a", "b", "c"}},
		"no change without a non-voter":                                    {Membership{Voters: voters, SinceContact: map[string]time.Duration{"c": unreachable}}, nil},
		"the non-voter is unreachable too": {
			Membership{Voters: voters, NonVoters: spare, SinceContact: map[string]time.Duration{"c": unreachable, "d": unreachable}}, nil,
		},
		"the leader itself never counts as unreachable": {
			Membership{Voters: voters, NonVoters: spare, SinceContact: map[string]time.Duration{"a": unreachable}}, nil,
		},
		"too few voters": {Membership{Voters: map[string]string{"a": ""}, NonVoters: spare}, []string{"a", "d"}},
		"a new leader has not heard from a voter": {
			Membership{Voters: four, Unheard: map[string]bool{"b": true}}, nil,
		},
		"a voter is silent, another one is not removed for it": {
			Membership{Voters: four, SinceContact: map[string]time.Duration{"b": time.Second}}, nil,
		},
		"a non-voter is added for a voter that stops": {
			Membership{Voters: voters, NonVoters: spare, Leaving: map[string]bool{"b": true}}, []string{"a", "b", "c", "d"},
		},
		"then the voter that stops is removed":  {Membership{Voters: four, Leaving: map[string]bool{"b": true}}, []string{"a", "c", "d"}},
		"the leader that stops removes itself":  {Membership{Voters: four, Leaving: map[string]bool{"a": true}}, []string{"b", "c", "d"}},
		"the leader that stops is removed last": {Membership{Voters: four, Leaving: map[string]bool{"a": true, "d": true}}, []string{"a", "b", "c"}},
		"the only replacement is about to stop": {Membership{Voters: voters, NonVoters: spare, Leaving: map[string]bool{"b": true, "d": true}}, nil},
		"no replacement for a voter that stops": {Membership{Voters: voters, Leaving: map[string]bool{"b": true}}, nil},
		"an unreachable voter is replaced first": {
			Membership{Voters: four, SinceContact: map[string]time.Duration{"c": unreachable}, Leaving: map[string]bool{"b": true}}, []string{"a", "b", "d"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tc.ms.Leader, tc.ms.Want = "a", 3
			next, _ := tc.ms.Next()
			if tc.want == nil {
				require.Nil(t, next)
				return
			}
			require.Equal(t, tc.want, slices.Sorted(maps.Keys(next)))
		})
	}
}
