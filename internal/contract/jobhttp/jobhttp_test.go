package jobhttp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/contract/jobhttp"
)

// countingHandler accepts every call and counts them.
type countingHandler struct{ calls int }

func (ch *countingHandler) Handle(context.Context, jobapi.Call) jobapi.Reply {
	ch.calls++
	return jobapi.Reply{Outcome: jobapi.OK}
}

// TestBodiesMustBeOneValue guards against bodies that are accepted although they
// cannot be read in full.
func TestBodiesMustBeOneValue(t *testing.T) {
	calls := map[string]struct{ method, path, body string }{
		"catalog": {http.MethodPut, "/v1/catalog", `{"version":1,"queues":[],"pools":[]}`},
		"job":     {http.MethodPost, "/v1/jobs", `{"queue":"q","id":"a","job":{"steps":[{"count":1}]}}`},
		"wave":    {http.MethodPost, "/v1/waves", `{"number":1,"machines":["m"]}`},
	}
	for name, tc := range calls {
		t.Run(name, func(t *testing.T) {
			ch := &countingHandler{}
			routes := jobhttp.Routes(ch, clock.Wall{})
			status := func(body string) int {
				rec := httptest.NewRecorder()
				routes.ServeHTTP(rec, httptest.NewRequest(tc.method, tc.path, strings.NewReader(body)))
				return rec.Code
			}
			require.Equal(t, http.StatusOK, status(tc.body+"\n"))
			for _, more := range []string{"}", "]", tc.body, "}{", ",", "x"} {
				require.Equal(t, http.StatusBadRequest, status(tc.body+more), "followed by %q", more)
			}
			require.Equal(t, 1, ch.calls)
		})
	}
}
