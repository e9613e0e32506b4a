package session

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"

	weir "greengageweir"
)

func TestRecentStartsAreConfirmedAndUnended(t *testing.T) {
	silent := time.Unix(1_800_000_000, 0)
	at := silent.Add(-time.Second)
	cases := map[string]struct {
		run         runState
		ended       bool
		want        bool
		unconfirmed bool
	}{
		"confirmed":                   {run: runState{sentAt: at, answeredAt: at}, want: true},
		"not answered":                {run: runState{sentAt: at}},
		"connection broke":            {run: runState{brokenAt: at}, unconfirmed: true},
		"broke, to be stopped":        {run: runState{brokenAt: at, unwanted: true}},
		"broke, listed as ended":      {run: runState{brokenAt: at}, ended: true},
		"broke long before":           {run: runState{brokenAt: silent.Add(-crashSpan - time.Millisecond)}},
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
			confirmed, unconfirmed := ss.RecentStarts()
			require.Equal(t, tc.want, len(confirmed) == 1)
			require.Equal(t, tc.unconfirmed, len(unconfirmed) == 1)
		})
	}
}

// restartedWorker is a worker that starts again under its id, with its clock at zero,
// after its first report.
type restartedWorker struct {
	weir.TaskWorkers

	clocks []time.Duration
}

func (rw *restartedWorker) clock() time.Duration {
	next := rw.clocks[0]
	rw.clocks = rw.clocks[1:]
	return next
}

func (rw *restartedWorker) Renew(context.Context, weir.WorkerIncarnation, weir.RenewOrder) (weir.WorkerReport, error) {
	return weir.WorkerReport{Clock: rw.clock()}, nil
}

func (rw *restartedWorker) Start(context.Context, weir.WorkerIncarnation, weir.StartOrder) (weir.OrderResponse, error) {
	return weir.OrderResponse{Clock: rw.clock()}, nil
}

// TestStartAnsweredByNextIncarnationIsNotRecent guards against a job that fails for
// the crash of an incarnation that had not started its task.
func TestStartAnsweredByNextIncarnationIsNotRecent(t *testing.T) {
	for second, want := range map[time.Duration]int{time.Hour: 1, 10 * time.Millisecond: 0} {
		ss := &Session{
			Lease: time.Minute, Leadership: alwaysLeader{}, Clock: clock.NewManual(time.Unix(1_800_000_000, 0)), OnChange: func() {},
			Workers: &restartedWorker{clocks: []time.Duration{time.Hour, second}},
		}
		require.NoError(t, ss.Default())
		ss.RenewOnce(t.Context())
		ss.Start(weir.StartOrder{RunKey: weir.RunKey{Task: weir.TaskRef{Job: "a"}, Run: 1}})
		require.True(t, ss.SendNext(t.Context()))
		confirmed, unconfirmed := ss.RecentStarts()
		require.Len(t, confirmed, want, "the worker's clock is at %s", second)
		require.Empty(t, unconfirmed)
	}
}
