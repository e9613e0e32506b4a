package strictjson_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/strictjson"
)

func TestDecode(t *testing.T) {
	cases := map[string]struct {
		text string
		good bool
	}{
		"one value":        {`{"a":1}`, true},
		"white space":      {" {\"a\":1}\r\n\t ", true},
		"second value":     {`{"a":1}{"a":1}`, false},
		"closing brace":    {`{"a":1}}`, false},
		"closing bracket":  {`{"a":1}]`, false},
		"half a value":     {`{"a":1}}{"b":`, false},
		"comma":            {`{"a":1},`, false},
		"unreadable bytes": {"{\"a\":1}\x00", false},
		"cut short":        {`{"a":1`, false},
		"nothing":          {"", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var into struct{ A int }
			err := strictjson.Decode(json.NewDecoder(strings.NewReader(tc.text)), &into)
			require.Equal(t, tc.good, err == nil, "%v", err)

			ech := echo.New()
			ech.JSONSerializer = strictjson.EchoSerializer{}
			req := httptest.NewRequest(http.MethodPut, "/", strings.NewReader(tc.text))
			req.Header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
			err = ech.NewContext(req, httptest.NewRecorder()).Bind(&into)
			// Bind leaves its target alone if there is no body.
			require.Equal(t, tc.good || tc.text == "", err == nil, "%v", err)
		})
	}
}
