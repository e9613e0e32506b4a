package inspect_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/common/clock"
	"greengageweir/internal/config/inspect"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/job/spec"
)

// secret is part of all keys in the tests' documents.
const secret = "s3cr3t-7319"

// parts are the parts of a valid document; tests replace some of them.
type parts struct{ version, queues, pools, teams string }

var sound = parts{
	version: `1`,
	queues:  `[{"name":"a","pool":"desk","timeoutMillis":3000,"targetMillis":600,"stretch":1.6,"maxAttempts":3}]`,
	pools:   `[{"name":"desk","guards":true},{"name":"off","standby":true}]`,
	teams:   `[{"name":"x","keys":["s3cr3t-7319-x"],"weight":2},{"name":"y","keys":["s3cr3t-7319-y"],"weight":1}]`,
}

func (pt parts) String() string {
	return fmt.Sprintf(`{"version":%s,"queues":%s,"pools":%s,"teams":%s}`, pt.version, pt.queues, pt.pools, pt.teams)
}

func withVersion(text string) string { pt := sound; pt.version = text; return pt.String() }
func withQueues(text string) string  { pt := sound; pt.queues = text; return pt.String() }
func withPools(text string) string   { pt := sound; pt.pools = text; return pt.String() }
func withTeams(text string) string   { pt := sound; pt.teams = text; return pt.String() }

// withQueue returns the sound document with a second queue. Its fields are those of a
// sound queue with the given ones added or replaced.
func withQueue(fields string) string {
	queue := `{"name":"b","pool":"desk","timeoutMillis":3000,"targetMillis":600,"stretch":1.6,"maxAttempts":3}`
	for _, field := range strings.Split(fields, ";") {
		name, _, _ := strings.Cut(field, ":")
		pos := strings.Index(queue, name+":")
		if pos < 0 {
			queue = strings.TrimSuffix(queue, "}") + "," + field + "}"
			continue
		}
		end := pos + strings.IndexAny(queue[pos:], ",}")
		queue = queue[:pos] + field + queue[end:]
	}
	return withQueues(strings.TrimSuffix(sound.queues, "]") + "," + queue + "]")
}

// checkingHandler answers PUT /v1/catalog as the process that receives it does.
type checkingHandler struct{}

func (checkingHandler) Handle(_ context.Context, call jobapi.Call) jobapi.Reply {
	if err := call.Catalog.Check(); err != nil {
		return jobapi.Reply{Outcome: jobapi.Invalid, Reason: err.Error()}
	}
	return jobapi.Reply{Outcome: jobapi.OK}
}

// refusedByProcess reports whether the API refuses the document.
func refusedByProcess(document string) bool {
	rec := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodPut, "/v1/catalog", strings.NewReader(document))
	jobhttp.Routes(checkingHandler{}, clock.Wall{}).ServeHTTP(rec, req)
	return rec.Code != http.StatusOK
}

// brokenCase is a document with a fault.
type brokenCase struct {
	document string
	// want is the beginning of the finding.
	want string
	// refused says that the API refuses the document.
	refused bool
}

var brokenCases = map[string]brokenCase{
	"nothing":                {``, "error document: decode: unreadable JSON: cut short", true},
	"cut short":              {sound.String()[:200], "error document: decode: unreadable JSON: cut short", true},
	"not JSON":               {`{"teams":[` + secret + `]}`, "error document: decode: unreadable JSON: not valid at byte 11", true},
	"two values":             {sound.String() + `"` + secret + `"`, "error document: decode: more than one JSON value", true},
	"not UTF-8":              {withTeams("[{\"name\":\"x\",\"keys\":[\"s3cr3t-7319\xff\"]}]"), "error document: is not valid UTF-8", true},
	"a list":                 {`["` + secret + `"]`, "error document: must be an object", true},
	"too large":              {withTeams(`[{"name":"` + strings.Repeat("x", 8<<20) + `"}]`), "error document: has 83", true},
	"unknown field":          {`{"` + secret + `":1}`, "error document: field 1 of this object is unknown, known are version, queues, pools, teams", true},
	"unknown field of queue": {withQueue(`"timeout":5`), "error queues[1]: field 7 of this object is unknown, known are name, pool, timeoutMillis", true},
	"unknown field of team":  {withTeams(`[{"name":"x","` + secret + `":1}]`), "error teams[0]: field 2 of this object is unknown", true},
	"text as version":        {withVersion(`"` + secret + `"`), "error version: must be a whole number", true},
	"fraction":               {withQueue(`"timeoutMillis":7319.5`), "error queues[1].timeoutMillis: must be a whole number", true},
	"number too large":       {withTeams(`[{"name":"x","keys":["s3cr3t-7319"],"weight":7319e7319}]`), "error teams[0].weight: must be a number", true},
	"number as key":          {withTeams(`[{"name":"x","keys":["a",7319]}]`), "error teams[0].keys[1]: must be a string", true},
	"key instead of list":    {withTeams(`[{"name":"x","keys":"s3cr3t-7319"}]`), "error teams[0].keys: must be a list", true},
	"text as public":         {withQueue(`"public":"yes"`), "error queues[1].public: must be true or false", true},
	"text as cap":            {withTeams(`[{"name":"x","cap":"s3cr3t-7319"}]`), "error teams[0].cap: must be an object", true},

	"no version":           {withVersion(`0`), "error version: is 0", false},
	"doubled field":        {withTeams(`[{"name":"x","keys":["s3cr3t-7319"],"Keys":["s3cr3t-7319"]}]`), "warning teams[0].keys: is given twice", false},
	"no queue":             {withQueues(`[]`), "warning queues: there is no queue", false},
	"doubled queue":        {withQueue(`"name":"a"`), `error queues[1].name: queue "a" is also queues[0]`, true},
	"unnamed queue":        {withQueue(`"name":""`), "warning queues[1].name: is empty", false},
	"queue within another": {withQueue(`"name":"a/b"`), `warning queues[1].name: jobs of queue "a" with an id that begins with "b/"`, false},
	"unknown pool":         {withQueue(`"pool":"dusk"`), `error queues[1].pool: queue "b" names the unknown pool "dusk"`, true},
	"standby pool":         {withQueue(`"pool":"off"`), `warning queues[1].pool: pool "off" is a standby pool`, false},
	"null as queue":        {withQueues(`[null]`), `error queues[0].timeoutMillis: queue "" has no timeout`, true},
	"no timeout":           {withQueue(`"timeoutMillis":0`), `error queues[1].timeoutMillis: queue "b" has no timeout`, true},
	"negative timeout":     {withQueue(`"timeoutMillis":-1`), `error queues[1].timeoutMillis: queue "b" has no timeout`, true},
	// 18,446,744,073,710 ms exceed 2 to the power of 64 ns by 448,384 ns: the API
	// would apply that as the timeout.
	"timeout that overflows": {withQueue(`"timeoutMillis":18446744073710`), "error queues[1].timeoutMillis: is out of range", false},
	"target that overflows":  {withQueue(`"targetMillis":9223372036855`), "error queues[1].targetMillis: is out of range", false},
	"negative target":        {withQueue(`"targetMillis":-1`), "warning queues[1].targetMillis: is negative", false},
	"negative stretch":       {withQueue(`"stretch":-1`), "warning queues[1].stretch: is negative", false},
	"objective never met":    {withQueue(`"targetMillis":0;"stretch":0.5`), "warning queues[1].stretch: is 0.5 and the target is 0", false},
	"usual job too long":     {withQueue(`"stretch":0.5`), "warning queues[1].targetMillis: a usual job takes 2 s and has 1.6 s", false},
	"no attempts":            {withQueue(`"maxAttempts":0`), "warning queues[1].maxAttempts: is 0 and counts as 1", false},
	"no adviser in jobs":     {withQueue(`"advice":{}`), `warning queues[1].advice: steps of queue "b" start only with an adviser's ticket`, false},
	"negative response time": {withQueue(`"advice":{"baseMillis":-1}`), "warning queues[1].advice.baseMillis: is negative", false},
	"validity too short": {
		withQueue(`"advice":{"baseMillis":300,"perWorkerMillis":1,"validityMillis":504}`),
		"warning queues[1].advice.validityMillis: tickets of 504 ms less a margin of 200 ms expire before the response for 4 workers", false,
	},
	"response later than objective": {
		withQueue(`"stretch":1;"advice":{"baseMillis":600,"perWorkerMillis":1}`),
		"warning queues[1].advice: the response for one worker takes 601 ms, the target is 600 ms", false,
	},
	"response time that overflows": {withQueue(`"advice":{"perWorkerMillis":9223372036854775807}`), "error queues[1].advice.perWorkerMillis: is out of range", false},

	"doubled pool": {withPools(`[{"name":"desk"},{"name":"desk"}]`), `error pools[1].name: pool "desk" is also pools[0]`, true},
	"unnamed pool": {withPools(`[{"name":"desk"},{"guards":true}]`), "error pools[1].name: is empty", true},
	"unused pool":  {withPools(`[{"name":"desk"},{"name":"van"}]`), `warning pools[1].name: no queue names pool "van"`, false},

	"doubled team":      {withTeams(`[{"name":"x","keys":["s3cr3t-7319-1"]},{"name":"x","keys":["s3cr3t-7319-2"]}]`), `error teams[1].name: team "x" is also teams[0]`, true},
	"unnamed team":      {withTeams(`[{"keys":["s3cr3t-7319"]}]`), "error teams[0].name: is empty", true},
	"shared key":        {withTeams(`[{"name":"x","keys":["k","s3cr3t-7319"]},{"name":"y","keys":["s3cr3t-7319"]}]`), `error teams[1].keys[0]: team "y" shares this key with team "x", teams[0].keys[1]`, true},
	"shared empty key":  {withTeams(`[{"name":"x","keys":[""]},{"name":"y","keys":[""]}]`), `error teams[1].keys[0]: team "y" shares this key with team "x"`, true},
	"repeated key":      {withTeams(`[{"name":"x","keys":["s3cr3t-7319","s3cr3t-7319"]}]`), "warning teams[0].keys[1]: is the same key as teams[0].keys[0]", false},
	"empty key":         {withTeams(`[{"name":"x","keys":["s3cr3t-7319",""]}]`), "warning teams[0].keys[1]: is empty and lets nobody in", false},
	"space after key":   {withTeams(`[{"name":"x","keys":["s3cr3t-7319 "]}]`), "warning teams[0].keys[0]: ends with white space", false},
	"newline in key":    {withTeams(`[{"name":"x","keys":["s3cr3t-7319\nx"]}]`), "warning teams[0].keys[0]: contains a control character", false},
	"team without keys": {withTeams(`[{"name":"x","keys":["s3cr3t-7319"]},{"name":"y"}]`), `warning teams[1].keys: team "y" has no key`, false},
	"no team":           {withTeams(`[]`), "warning teams: no team has a usable key: all calls to the queues that are not public (1)", false},
	"negative weight":   {withTeams(`[{"name":"x","keys":["s3cr3t-7319"],"weight":-1}]`), `error teams[0].weight: team "x" has a negative weight`, true},
	"weight 0":          {withTeams(`[{"name":"x","keys":["s3cr3t-7319-1"],"weight":1},{"name":"y","keys":["s3cr3t-7319-2"]}]`), "warning teams[1].weight: is 0 beside weights above 0", false},
	"negative cap":      {withTeams(`[{"name":"x","keys":["s3cr3t-7319"],"cap":{"memoryMb":-1}}]`), `error teams[0].cap.memoryMb: team "x" has a negative cap`, true},
	"cap below a gang":  {withTeams(`[{"name":"x","keys":["s3cr3t-7319"],"cap":{"milliCpu":3999}}]`), "warning teams[0].cap.milliCpu: is 3999: usual jobs, which start 2 tasks of 2000 at once, are refused", false},
	"cap without GPU":   {withTeams(`[{"name":"x","keys":["s3cr3t-7319"],"cap":{"gpu":1}}]`), "warning teams[0].cap.gpu: is 1", false},
}

var usual = inspect.UsualJob{Request: spec.Resources{MilliCPU: 2000, MemoryMB: 64, GPU: 1}, GangSize: 2, Duration: 2 * time.Second, Workers: 4}

// lines returns the findings as text.
func lines(list []inspect.Finding) []string {
	out := make([]string, len(list))
	for ix, fi := range list {
		out[ix] = fi.String()
	}
	return out
}

// TestBrokenDocuments guards against faults that are not found or have a wrong place,
// against a check that differs from what the API refuses, and against findings that
// contain a key.
func TestBrokenDocuments(t *testing.T) {
	for name, tc := range brokenCases {
		t.Run(name, func(t *testing.T) {
			_, list := inspect.Check([]byte(tc.document), usual)
			found := false
			for _, line := range lines(list) {
				found = found || strings.HasPrefix(line, tc.want)
				require.NotContains(t, line, "7319\"", "a finding quotes a key")
				require.NotContains(t, line, "s3cr3t")
			}
			require.True(t, found, "want %q in %q", tc.want, lines(list))
			require.Equal(t, tc.refused, refusedByProcess(tc.document), "refused by the API")
			if tc.refused {
				require.Positive(t, inspect.Count(list, inspect.SeverityError), "the check passes what the API refuses")
			}
			if strings.HasPrefix(tc.want, "warning") {
				require.Zero(t, inspect.Count(list, inspect.SeverityError), "%q", lines(list))
			}
		})
	}
}

// furtherFindings holds how many findings a case has beside the one that it names; a case
// that is not listed has none.
var furtherFindings = map[string]int{
	// The unknown field takes the place of the others.
	"unknown field": 2, "unknown field of team": 2, "null as queue": 4,
	// No queue names the pool, or no other key is left.
	"no queue": 1, "space after key": 1, "newline in key": 1, "shared empty key": 3,
	// Each adviser has the finding of the case "no adviser in jobs".
	"validity too short": 1, "response later than objective": 1, "negative response time": 1, "response time that overflows": 1,
}

// TestOneFaultOneFinding guards against faults that bring findings about other places,
// which would hide the first.
func TestOneFaultOneFinding(t *testing.T) {
	for name, tc := range brokenCases {
		t.Run(name, func(t *testing.T) {
			_, list := inspect.Check([]byte(tc.document), usual)
			require.Len(t, list, 1+furtherFindings[name], "%q", lines(list))
		})
	}
}

// TestSoundDocuments guards against findings about configurations without a fault.
func TestSoundDocuments(t *testing.T) {
	documents := map[string]string{
		"with teams":             sound.String(),
		"no teams":               withTeams(`null`),
		"no weights":             withTeams(`[{"name":"x","keys":["s3cr3t-7319-1"]},{"name":"y","keys":["s3cr3t-7319-2"]}]`),
		"no objective":           withQueue(`"targetMillis":0;"stretch":0`),
		"other case of names":    `{"Version":1,"QUEUES":[{"Name":"a","pool":"desk","timeoutmillis":1,"maxAttempts":1}],"pools":[{"name":"desk"}]}`,
		"names with one prefix":  withQueue(`"name":"ab"`),
		"cap of one gang":        withTeams(`[{"name":"x","keys":["s3cr3t-7319"],"cap":{"milliCpu":4000,"memoryMb":128,"gpu":2}}]`),
		"public without teams":   `{"version":1,"queues":[{"name":"a","pool":"desk","timeoutMillis":1,"maxAttempts":1,"public":true}],"pools":[{"name":"desk"}],"teams":[]}`,
		"key with spaces within": withTeams(`[{"name":"x","keys":["s3cr3t 7319"]}]`),
	}
	for _, file := range []string{"catalog.json", "teams.json"} {
		text, err := os.ReadFile("../../../examples/jobs/" + file)
		require.NoError(t, err)
		documents[file] = string(text)
	}
	for name, document := range documents {
		t.Run(name, func(t *testing.T) {
			_, list := inspect.Check([]byte(document), usual)
			require.Empty(t, lines(list))
			require.False(t, refusedByProcess(document))
		})
	}
}

// TestAdviceWithinValidity guards against a finding about tickets that are valid long
// enough, at the smallest such validity.
func TestAdviceWithinValidity(t *testing.T) {
	for _, tc := range []struct {
		validity, workers int
		short             bool
	}{{501, 1, true}, {502, 1, false}, {600, 100, true}, {601, 100, false}, {601, 1000, false}, {0, 1000, false}} {
		_, list := inspect.Check([]byte(withQueue(fmt.Sprintf(`"advice":{"baseMillis":300,"perWorkerMillis":1,"validityMillis":%d}`, tc.validity))),
			inspect.UsualJob{Workers: tc.workers})
		require.Equal(t, tc.short, strings.Contains(strings.Join(lines(list), "\n"), "expire before"), "%+v", tc)
	}
}

// TestAdviceWithinObjective guards against a finding about a response that leaves jobs
// just enough time, or that a stretch above 1 makes up for.
func TestAdviceWithinObjective(t *testing.T) {
	for fields, late := range map[string]bool{
		`"targetMillis":300;"stretch":1`:   true,
		`"targetMillis":301;"stretch":1`:   false,
		`"targetMillis":300;"stretch":1.1`: false,
		`"targetMillis":300;"stretch":0`:   true,
		`"targetMillis":0;"stretch":0`:     false,
	} {
		_, list := inspect.Check([]byte(withQueue(fields+`;"advice":{"baseMillis":300,"perWorkerMillis":1}`)), inspect.UsualJob{})
		require.Equal(t, late, strings.Contains(strings.Join(lines(list), "\n"), "no job can end in time"), "%s: %q", fields, lines(list))
	}
}

// keyHandler keeps the key of the last call.
type keyHandler struct{ key auth.Key }

func (kh *keyHandler) Handle(_ context.Context, call jobapi.Call) jobapi.Reply {
	kh.key = call.Key
	return jobapi.Reply{Outcome: jobapi.OK}
}

// TestKeysThatCallsPresent guards against findings about keys that differ from what
// reaches a process over HTTP.
func TestKeysThatCallsPresent(t *testing.T) {
	for key, arrives := range map[string]bool{
		"s3cr3t": true, " s3cr3t": true, "s3 cr3t": true, "s3\tcr3t": true, "s3cr3t\u00e9": true,
		"s3cr3t ": false, "s3cr3t\t": false, "s3\ncr3t": false, "s3\rcr3t": false, "s3\x7fcr3t": false, "": false,
	} {
		kh := &keyHandler{}
		srv := httptest.NewServer(jobhttp.Routes(kh, clock.Wall{}))
		req, err := http.NewRequest(http.MethodGet, srv.URL+"/v1/jobs?queue=a", http.NoBody)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		// The client refuses control characters.
		resp, err := srv.Client().Do(req)
		if err == nil {
			require.NoError(t, resp.Body.Close())
		}
		srv.Close()
		require.Equal(t, arrives, err == nil && key != "" && string(kh.key) == key, "%q", key)

		quoted, err := json.Marshal(key)
		require.NoError(t, err)
		_, list := inspect.Check([]byte(withTeams(fmt.Sprintf(`[{"name":"x","keys":[%s]}]`, quoted))), inspect.UsualJob{})
		require.Equal(t, arrives, len(list) == 0, "%q: %q", key, lines(list))
	}
}

// TestAgreesWithTheAPI guards against documents that the API refuses and the check
// passes: each value of a document is replaced by each of some others.
func TestAgreesWithTheAPI(t *testing.T) {
	document := withQueue(`"advice":{"baseMillis":5,"perWorkerMillis":6,"validityMillis":7000};"public":true;"priority":1`)
	document = strings.Replace(document, `"weight":2`, `"weight":2,"cap":{"milliCpu":1,"memoryMb":2,"gpu":3}`, 1)
	require.False(t, refusedByProcess(document))
	refused := 0
	for pos := range document {
		if document[pos] != ':' && document[pos] != '[' {
			continue
		}
		dec := json.NewDecoder(strings.NewReader(document[pos+1:]))
		var value json.RawMessage
		if dec.Decode(&value) != nil {
			continue // a colon in a string
		}
		end := pos + 1 + int(dec.InputOffset())
		for _, other := range []string{"null", `""`, `"x"`, "0", "-1", "1.5", "1e400", "true", "[]", "{}", "[null]", `{"x":1}`, `[""]`, "", twice(value)} {
			changed := document[:pos+1] + other + document[end:]
			_, list := inspect.Check([]byte(changed), inspect.UsualJob{})
			if refusedByProcess(changed) {
				refused++
				require.Positive(t, inspect.Count(list, inspect.SeverityError), "%s", changed)
				continue
			}
			for _, fi := range list {
				require.False(t, fi.Severity == inspect.SeverityError && fi.Path != "version", "%s in %s", fi, changed)
			}
		}
	}
	require.Greater(t, refused, 200, "too few documents are refused for this test to mean much")
}

// twice returns a text with the value twice, as elements of a list.
func twice(value json.RawMessage) string { return string(value) + "," + string(value) }
