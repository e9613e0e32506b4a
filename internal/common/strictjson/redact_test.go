package strictjson_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/strictjson"
)

// TestRedact guards against errors that quote the document, and against errors that do
// not tell where it is wrong.
func TestRedact(t *testing.T) {
	cases := map[string]struct{ document, want string }{
		"wrong type":      {`{"keys":[{"s3cr3t":1}]}`, "keys"},
		"number too long": {`{"weight":7319e7319}`, "weight"},
		"fraction":        {`{"cap":{"cpu":7319.7319}}`, "cap.cpu"},
		"not JSON":        {`{"keys":[s3cr3t]}`, "byte 10"},
		"unknown field":   {`{"s3cr3t":1}`, "unknown field"},
		"cut short":       {`{"keys":["s3cr3t`, "cut short"},
		"nothing":         {``, "cut short"},
		"two values":      {`{} "s3cr3t"`, "more than one JSON value"},
		"value and brace": {`{}}`, "more than one JSON value"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var into struct {
				Keys   []string `json:"keys"`
				Weight float64  `json:"weight"`
				Cap    struct {
					CPU int `json:"cpu"`
				} `json:"cap"`
			}
			dec := json.NewDecoder(strings.NewReader(tc.document))
			dec.DisallowUnknownFields()
			err := strictjson.Redact(strictjson.Decode(dec, &into))
			require.ErrorContains(t, err, tc.want)
			for _, part := range []string{"s3cr3t", "7319", "'s'", "'}'"} {
				require.NotContains(t, err.Error(), part)
			}
		})
	}
	require.NoError(t, strictjson.Redact(nil))

	body := http.MaxBytesReader(httptest.NewRecorder(), io.NopCloser(strings.NewReader("s3cr3t")), 3)
	_, err := io.ReadAll(body)
	require.ErrorContains(t, strictjson.Redact(err), "over 3 bytes")
	_, err = json.Marshal(json.RawMessage("{s3cr3t}"))
	require.ErrorContains(t, strictjson.Redact(err), "not valid at byte")
}
