package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	weir "greengageweir"
)

func TestRecentStartsAreConfirmedAndUnended(t *testing.T) {
	silent := time.Unix(1_800_000_000, 0)
	at := silent.Add(-time.Second)
	cases := map[string]struct {
		run   runState
		ended bool
		want  bool
	}{
		"confirmed":                   {run: runState{sentAt: at, answeredAt: at}, want: true},
		"not answered":                {run: runState{sentAt: at}},
		"sent by an earlier leader":   {run: runState{listedAt: at}},
		"refused":                     {run: runState{sentAt: at, answeredAt: at, refusal: weir.RefusedCapacity}},
		"to be stopped":               {run: runState{sentAt: at, answeredAt: at, unwanted: true}},
		"listed as ended":             {run: runState{sentAt: at, answeredAt: at}, ended: true},
		"long before the silence":     {run: runState{sentAt: silent.Add(-crashSpan - time.Millisecond), answeredAt: at}},
		"as long before as may count": {run: runState{sentAt: silent.Add(-crashSpan), answeredAt: at}, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			key := weir.RunKey{Task: weir.TaskRef{Job: "a"}, Run: 1}
			ss := &Session{runs: map[weir.RunKey]*runState{key: &tc.run}, unreachableSince: silent}
			if tc.ended {
				ss.ends = []weir.RunEnd{{RunKey: key, Number: 1}}
			}
			require.Equal(t, tc.want, len(ss.RecentStarts()) == 1)
		})
	}
}
