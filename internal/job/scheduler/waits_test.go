package scheduler

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// TestLogNamesWhyATaskWaits guards against a long-running task without a run whose cause the
// logs do not show, and against lines that grow with the pool.
func TestLogNamesWhyATaskWaits(t *testing.T) {
	four := spec.Resources{MilliCPU: 4000}
	bw := newBlockedWave(t, nil, store.Worker{ID: "w0", Kind: "k", Capacity: four})
	bw.join(store.Worker{ID: "w1", Kind: "x", Capacity: four, Incarnation: 1})
	bw.join(store.Worker{ID: "w2", Kind: "k", Capacity: spec.Resources{MilliCPU: 500}, Incarnation: 1})
	bw.join(store.Worker{ID: "w3", Kind: "k", Capacity: four, Incarnation: 1, Draining: true})
	bw.sp.step(maxRoundInterval)
	bw.sp.workers.down["w0"] = true
	bw.sp.step(maxRoundInterval)
	var out bytes.Buffer
	bw.sp.sc.Logger = log.NewJSONLogger(&out)
	bw.sp.submit(spec.Step{Count: 2, Resources: spec.Resources{MilliCPU: 1000}, LongRunning: true, Label: "k"})
	waits := func() (lines []string) {
		for _, line := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
			var entry struct{ Msg, Workers string }
			require.NoError(t, json.Unmarshal(line, &entry))
			if entry.Msg == "long-running task waits" {
				lines = append(lines, entry.Workers)
			}
		}
		out.Reset()
		return lines
	}
	bw.never(3*time.Second, func() bool { return bw.atWork("a") > 0 }, "no worker takes it")
	lines := waits()
	require.LessOrEqual(t, len(lines), 3, "one line a second")
	require.Equal(t, "w0: not responding, w1: another kind or rack, w2: no room, w3: draining", lines[0])
	for ix := range 100 {
		bw.join(store.Worker{ID: weir.InstanceID(fmt.Sprintf("x%03d", ix)), Kind: "x", Capacity: four, Incarnation: 1})
	}
	bw.never(2*time.Second, func() bool { return bw.atWork("a") > 0 }, "no worker takes it")
	lines = waits()
	require.Less(t, len(lines[len(lines)-1]), 1000)
	require.Contains(t, lines[len(lines)-1], "; all: 101: another kind or rack, 1: draining, 1: no room, 1: not responding")
}
