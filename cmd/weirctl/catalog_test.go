package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/config/inspect"
)

const (
	inForceDocument = `{"version":3,"queues":[{"name":"a","pool":"desk","timeoutMillis":3000,"targetMillis":600,"stretch":1.6,"maxAttempts":3}],
		"pools":[{"name":"desk"}],"teams":[{"name":"x","keys":["s3cr3t-7319-1"],"cap":{"milliCpu":4000}}]}`
	nextDocument = `{"version":4,"queues":[{"name":"a","pool":"desk","timeoutMillis":3000,"targetMillis":600,"stretch":1.6,"maxAttempts":3}],
		"pools":[{"name":"desk"}],"teams":[{"name":"x","keys":["s3cr3t-7319-2"],"cap":{"milliCpu":3000}}]}`
	sharedKeyDocument = `{"version":5,"queues":[{"name":"a","pool":"desk","timeoutMillis":3000,"maxAttempts":3}],
		"pools":[{"name":"desk"}],"teams":[{"name":"x","keys":["s3cr3t-7319"]},{"name":"y","keys":["s3cr3t-7319"]}]}`
)

func writeDocument(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "catalog.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// execute runs a command and returns its output and its error.
func execute(t *testing.T, cmd flags.Commander) (string, error) {
	t.Helper()
	out, err := os.Create(filepath.Join(t.TempDir(), "out"))
	require.NoError(t, err)
	stdout := os.Stdout
	os.Stdout = out
	defer func() { os.Stdout = stdout }()
	failed := cmd.Execute(nil)
	require.NoError(t, out.Close())
	text, err := os.ReadFile(out.Name())
	require.NoError(t, err)
	require.NotContains(t, string(text), "s3cr3t", "the output contains a key")
	if failed != nil {
		require.NotContains(t, failed.Error(), "s3cr3t", "the error contains a key")
	}
	return string(text), failed
}

// TestCatalogCheckStatus guards against a wrong status: errors must fail, warnings only
// with --strict.
func TestCatalogCheckStatus(t *testing.T) {
	for name, tc := range map[string]struct {
		cmd    catalogCheck
		failed bool
		want   string
	}{
		"sound":    {catalogCheck{catalogFileFlags: catalogFileFlags{File: writeDocument(t, nextDocument), Strict: true}}, false, "ok: version 4, 1 queues, 1 pools, 1 teams\n"},
		"error":    {catalogCheck{catalogFileFlags: catalogFileFlags{File: writeDocument(t, sharedKeyDocument)}}, true, "error teams[1].keys[0]: team \"y\" shares this key with team \"x\", teams[0].keys[0]\n"},
		"warning":  {catalogCheck{catalogFileFlags: catalogFileFlags{File: writeDocument(t, nextDocument)}, JobCPU: 5000}, false, "warning teams[0].cap.milliCpu: is 3000"},
		"strict":   {catalogCheck{catalogFileFlags: catalogFileFlags{File: writeDocument(t, nextDocument), Strict: true}, JobCPU: 5000}, true, "warning teams[0].cap.milliCpu: is 3000"},
		"memory":   {catalogCheck{catalogFileFlags: catalogFileFlags{File: writeDocument(t, strings.Replace(nextDocument, "milliCpu", "memoryMb", 1))}, JobMemory: 5000}, false, "warning teams[0].cap.memoryMb: is 3000"},
		"GPU":      {catalogCheck{catalogFileFlags: catalogFileFlags{File: writeDocument(t, strings.Replace(nextDocument, "milliCpu", "gpu", 1))}, JobGPU: 1, JobGang: 3001}, false, "warning teams[0].cap.gpu: is 3000"},
		"duration": {catalogCheck{catalogFileFlags: catalogFileFlags{File: writeDocument(t, strings.Replace(nextDocument, "1.6", "0.5", 1))}, JobDuration: 2 * time.Second}, false, "warning queues[0].targetMillis: a usual job takes 2 s"},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := execute(t, &tc.cmd)
			require.Equal(t, tc.failed, err != nil, "%v", err)
			require.True(t, strings.HasPrefix(out, tc.want), "%q", out)
		})
	}
	_, err := execute(t, &catalogCheck{catalogFileFlags: catalogFileFlags{File: filepath.Join(t.TempDir(), "missing")}})
	require.ErrorIs(t, err, os.ErrNotExist)
}

// TestCatalogUsage guards against a call that cannot be carried out but does not end with
// the status of wrong usage, which is that of errors from the flags library.
func TestCatalogUsage(t *testing.T) {
	file := catalogFileFlags{File: writeDocument(t, nextDocument)}
	for _, cmd := range []flags.Commander{
		&catalogDiff{catalogFileFlags: file},
		&catalogDiff{catalogFileFlags: file, Against: "other", Jobs: []string{"127.0.0.1:1"}, Live: true},
		&catalogCheck{catalogFileFlags: file, JobCPU: -1},
	} {
		_, err := execute(t, cmd)
		var usage *flags.Error
		require.ErrorAs(t, err, &usage)
	}
}

// TestCatalogOutputJSON guards against JSON that lacks findings, and against null in
// place of an empty list.
func TestCatalogOutputJSON(t *testing.T) {
	for document, want := range map[string]int{nextDocument: 0, sharedKeyDocument: 1} {
		out, err := execute(t, &catalogCheck{catalogFileFlags: catalogFileFlags{File: writeDocument(t, document), Output: "json"}})
		require.Equal(t, want > 0, err != nil, "%v", err)
		var list []inspect.Finding
		require.NoError(t, json.Unmarshal([]byte(out), &list))
		require.NotNil(t, list)
		require.Len(t, list, want)
	}
}

// TestCatalogDiffSources guards against a comparison with the wrong side, and against
// keys that count as removed because the process leaves them out.
func TestCatalogDiffSources(t *testing.T) {
	file := catalogFileFlags{File: writeDocument(t, nextDocument)}
	out, err := execute(t, &catalogDiff{catalogFileFlags: file, Against: writeDocument(t, inForceDocument)})
	require.NoError(t, err)
	require.Equal(t, `change teams[0].cap.milliCpu: team "x": 4000 -> 3000
warning teams[0].cap.milliCpu: lowered: running tasks continue, none starts while the team uses more than 3000
change teams[0].keys: team "x": 1 added, 1 removed
change version: 3 -> 4
`, out)

	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodGet || req.URL.Path != "/v1/catalog" {
			wr.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = wr.Write([]byte(strings.Replace(inForceDocument, `"keys":["s3cr3t-7319-1"],`, "", 1)))
	}))
	defer srv.Close()
	live := catalogDiff{catalogFileFlags: file, Live: true, Jobs: []string{strings.TrimPrefix(srv.URL, "http://")}, Timeout: time.Minute}
	out, err = execute(t, &live)
	require.NoError(t, err)
	require.Contains(t, out, "note teams: keys are not compared")
	require.Contains(t, out, "4000 -> 3000")
	require.NotContains(t, out, "removed")

	live.Strict = true
	_, err = execute(t, &live)
	require.Error(t, err, "a lowered cap is a warning")

	old := catalogFileFlags{File: writeDocument(t, inForceDocument)}
	out, err = execute(t, &catalogDiff{catalogFileFlags: old, Against: writeDocument(t, nextDocument)})
	require.Error(t, err)
	require.Contains(t, out, "error version: 3 is not higher than 4")

	out, err = execute(t, &catalogDiff{catalogFileFlags: catalogFileFlags{File: writeDocument(t, sharedKeyDocument)}, Against: writeDocument(t, nextDocument)})
	require.Error(t, err)
	require.Contains(t, out, "error teams[1].keys[0]")
	require.NotContains(t, out, "change", "no comparison with an invalid configuration")

	_, err = execute(t, &catalogDiff{catalogFileFlags: file, Against: writeDocument(t, `{"teams":["s3cr3t-7319"]}`)})
	require.Error(t, err)
}
