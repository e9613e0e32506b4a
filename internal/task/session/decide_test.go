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
	whole := report{sentAt: ago(10), complete: true}
	cases := map[string]struct {
		run    runState
		last   report
		listed bool
		wanted bool
		want   decision
	}{
		"inherited, no report yet":               {runState{}, report{}, false, true, decisionWait},
		"inherited and listed":                   {runState{}, whole, true, true, decisionWait},
		"inherited, reported but not listed":     {runState{}, whole, false, true, decisionStop},
		"listed but not wanted":                  {runState{}, whole, true, false, decisionStop},
		"start in flight":                        {runState{sentAt: ago(100)}, whole, false, true, decisionWait},
		"start not answered":                     {runState{sentAt: ago(900)}, whole, false, true, decisionStop},
		"confirmed after the report":             {runState{sentAt: ago(20), answeredAt: ago(5)}, whole, false, true, decisionWait},
		"confirmed before a report without it":   {runState{sentAt: ago(50), answeredAt: ago(40)}, whole, false, true, decisionLost},
		"list of ends is full":                   {runState{sentAt: ago(50), answeredAt: ago(40)}, report{sentAt: ago(10)}, false, true, decisionWait},
		"listed before, but not now":             {runState{listedAt: ago(20)}, whole, false, true, decisionLost},
		"listed in a report out of order":        {runState{listedAt: ago(5), answeredAt: ago(5)}, whole, false, true, decisionWait},
		"inherited, listed out of order":         {runState{listedAt: ago(5)}, whole, false, true, decisionWait},
		"stop confirmed before the report":       {runState{stopAckedAt: ago(20)}, whole, false, true, decisionLost},
		"stop confirmed after the report":        {runState{stopAckedAt: ago(5)}, whole, false, true, decisionStop},
		"refused":                                {runState{refusal: weir.RefusedCapacity}, whole, false, true, decisionRefused},
		"answered by another incarnation":        {runState{refusal: weir.RefusedIncarnation}, whole, false, true, decisionWait},
		"never sent":                             {runState{notSent: true}, report{}, false, true, decisionRefused},
		"cancelled while the start is in flight": {runState{sentAt: ago(100)}, whole, false, false, decisionStop},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, decide(now, tc.run, tc.last, tc.listed, tc.wanted))
		})
	}
}
