package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	weir "greengageweir"
)

func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	whole := report{sentAt: ago(10), whole: true}
	cases := map[string]struct {
		run    run
		last   report
		listed bool
		wanted bool
		want   verdict
	}{
		"inherited, no report yet":               {run{}, report{}, false, true, verdictWait},
		"inherited and listed":                   {run{}, whole, true, true, verdictWait},
		"inherited, reported but not listed":     {run{}, whole, false, true, verdictStop},
		"listed but not wanted":                  {run{}, whole, true, false, verdictStop},
		"start under way":                        {run{sentAt: ago(100)}, whole, false, true, verdictWait},
		"start without an answer":                {run{sentAt: ago(900)}, whole, false, true, verdictStop},
		"confirmed after the report":             {run{sentAt: ago(20), answered: ago(5)}, whole, false, true, verdictWait},
		"confirmed before a report without it":   {run{sentAt: ago(50), answered: ago(40)}, whole, false, true, verdictLost},
		"the list of ends is full":               {run{sentAt: ago(50), answered: ago(40)}, report{sentAt: ago(10)}, false, true, verdictWait},
		"was listed, is no longer":               {run{listedAt: ago(20)}, whole, false, true, verdictLost},
		"listed by an answer that overtook":      {run{listedAt: ago(5), answered: ago(5)}, whole, false, true, verdictWait},
		"inherited, listed by one that overtook": {run{listedAt: ago(5)}, whole, false, true, verdictWait},
		"stop confirmed before the report":       {run{stopAcked: ago(20)}, whole, false, true, verdictLost},
		"stop confirmed after the report":        {run{stopAcked: ago(5)}, whole, false, true, verdictStop},
		"refused":                                {run{refusal: weir.RefusedCapacity}, whole, false, true, verdictRefused},
		"answered by another life":               {run{refusal: weir.RefusedIncarnation}, whole, false, true, verdictWait},
		"never sent":                             {run{dropped: true}, report{}, false, true, verdictRefused},
		"cancelled while its start is under way": {run{sentAt: ago(100)}, whole, false, false, verdictStop},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, decide(now, tc.run, tc.last, tc.listed, tc.wanted))
		})
	}
}
