package inspect_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/config/inspect"
	"greengageweir/internal/contract/jobhttp"
)

// read returns the configuration of a document without errors.
func read(t *testing.T, document string) jobhttp.Catalog {
	t.Helper()
	ct, list := inspect.Check([]byte(document), inspect.UsualJob{})
	require.Zero(t, inspect.Count(list, inspect.SeverityError), "%q", lines(list))
	return ct
}

// TestDiff guards against differences that are missing, have wrong values or contain a
// key.
func TestDiff(t *testing.T) {
	queue := func(fields string) string { return strings.Replace(withQueue(fields), `"version":1`, `"version":2`, 1) }
	next := func(document string) string { return strings.Replace(document, `"version":1`, `"version":2`, 1) }
	capped := withTeams(`[{"name":"x","keys":["s3cr3t-7319"],"cap":{"milliCpu":4000}}]`)
	cases := map[string]struct {
		inForce, next string
		keysUnknown   bool
		want          []string
	}{
		"same":             {inForce: sound.String(), next: sound.String(), want: []string{"note version: 1 is not higher than 1: it would be acknowledged and change nothing"}},
		"only the version": {inForce: sound.String(), next: next(sound.String()), want: []string{"change version: 1 -> 2"}},
		"version not higher": {inForce: queue(`"stretch":1.6`), next: withQueue(`"stretch":2`), want: []string{
			"change queues[1].stretch: queue \"b\": 1.6 -> 2",
			"error version: 1 is not higher than 2: it would be acknowledged and change nothing",
		}},
		"queue added":   {inForce: sound.String(), next: queue(`"stretch":1`), want: []string{`change queues[1]: queue "b" added`, "change version: 1 -> 2"}},
		"queue removed": {inForce: withQueue(`"stretch":1`), next: next(sound.String()), want: []string{`warning queues: queue "b" removed: its accepted jobs start no further tasks`, "change version: 1 -> 2"}},
		"queue changed": {inForce: withQueue(`"stretch":1`), next: queue(`"stretch":1;"pool":"off";"maxAttempts":2;"public":true`), want: []string{
			`change queues[1].pool: queue "b": "desk" -> "off"`, `change queues[1].maxAttempts: queue "b": 3 -> 2`, `change queues[1].public: queue "b": false -> true`,
			"warning queues[1].maxAttempts: lowered", "change version: 1 -> 2",
		}},
		"adviser added": {inForce: withQueue(`"stretch":1`), next: queue(`"stretch":1;"advice":{"baseMillis":5}`), want: []string{
			`change queues[1].advice: queue "b": none -> {BaseMillis:5 PerWorkerMillis:0 ValidityMillis:0}`, "change version: 1 -> 2",
		}},
		"adviser changed": {inForce: withQueue(`"advice":{"baseMillis":5}`), next: queue(`"advice":{"baseMillis":6}`), want: []string{
			`change queues[1].advice.baseMillis: queue "b": 5 -> 6`, "change version: 1 -> 2",
		}},
		"pools": {inForce: sound.String(), next: next(withPools(`[{"name":"desk"},{"name":"van"}]`)), want: []string{
			`change pools[0].guards: pool "desk": true -> false`, `change pools[1]: pool "van" added`, `change pools: pool "off" removed`, "change version: 1 -> 2",
		}},
		"teams added":   {inForce: withTeams("null"), next: next(withTeams(`[{"name":"x"}]`)), want: []string{"warning teams: added: calls", `change teams[0]: team "x" added`, "change version: 1 -> 2"}},
		"teams removed": {inForce: withTeams(`[{"name":"x"}]`), next: next(withTeams("null")), want: []string{"warning teams: removed: calls", `change teams: team "x" removed`, "change version: 1 -> 2"}},
		"cap lowered": {inForce: capped, next: next(strings.Replace(capped, "4000", "3000", 1)), want: []string{
			`change teams[0].cap.milliCpu: team "x": 4000 -> 3000`, "warning teams[0].cap.milliCpu: lowered", "change version: 1 -> 2",
		}},
		"cap raised": {inForce: capped, next: next(strings.Replace(capped, "4000", "5000", 1)), want: []string{`change teams[0].cap.milliCpu: team "x": 4000 -> 5000`, "change version: 1 -> 2"}},
		"first cap": {inForce: strings.Replace(capped, "4000", "0", 1), next: next(capped), want: []string{
			`change teams[0].cap.milliCpu: team "x": 0 -> 4000`, "warning teams[0].cap.milliCpu: lowered", "change version: 1 -> 2",
		}},
		"cap lifted": {inForce: capped, next: next(strings.Replace(capped, "4000", "0", 1)), want: []string{`change teams[0].cap.milliCpu: team "x": 4000 -> 0`, "change version: 1 -> 2"}},
		"weight":     {inForce: withTeams(`[{"name":"x","weight":1}]`), next: next(withTeams(`[{"name":"x","weight":0.5}]`)), want: []string{`change teams[0].weight: team "x": 1 -> 0.5`, "change version: 1 -> 2"}},
		"keys": {
			inForce: withTeams(`[{"name":"x","keys":["s3cr3t-7319-1","s3cr3t-7319-2"]}]`), next: next(withTeams(`[{"name":"x","keys":["s3cr3t-7319-2","s3cr3t-7319-3","s3cr3t-7319-4"]}]`)),
			want: []string{`change teams[0].keys: team "x": 2 added, 1 removed`, "change version: 1 -> 2"},
		},
		"repeated key": {
			inForce: withTeams(`[{"name":"x"}]`), next: next(withTeams(`[{"name":"x","keys":["s3cr3t-7319","s3cr3t-7319"]}]`)),
			want: []string{`change teams[0].keys: team "x": 1 added, 0 removed`, "change version: 1 -> 2"},
		},
		"keys in another order": {
			inForce: withTeams(`[{"name":"x","keys":["s3cr3t-7319-1","s3cr3t-7319-2"]}]`), next: next(withTeams(`[{"name":"x","keys":["s3cr3t-7319-2","s3cr3t-7319-1"]}]`)),
			want: []string{"change version: 1 -> 2"},
		},
		"keys unknown": {
			inForce: withTeams(`[{"name":"x"}]`), next: withTeams(`[{"name":"x","keys":["s3cr3t-7319"]}]`), keysUnknown: true,
			want: []string{"note teams: keys are not compared", "note version: 1 is not higher than 1"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := lines(inspect.Diff(read(t, tc.inForce), read(t, tc.next), !tc.keysUnknown))
			require.Len(t, got, len(tc.want), "%q", got)
			for ix, want := range tc.want {
				require.True(t, strings.HasPrefix(got[ix], want), "want %q, got %q", want, got[ix])
				require.NotContains(t, got[ix], "s3cr3t")
			}
		})
	}
}
