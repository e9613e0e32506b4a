package auth_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/auth"
)

// TestKeyIsNotPrinted guards against keys in logs and error texts, also as a field of
// a printed value.
func TestKeyIsNotPrinted(t *testing.T) {
	const secret = "s3cr3t-0b77"
	var out bytes.Buffer
	values := struct {
		Key  auth.Key
		Keys []auth.Key
	}{secret, []auth.Key{secret}}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q"} {
		fmt.Fprintf(&out, verb, auth.Key(secret))
		fmt.Fprintf(&out, verb, values)
	}
	require.NoError(t, log.NewJSONLogger(&out).Log("key", auth.Key(secret)))
	require.NoError(t, log.NewLogfmtLogger(&out).Log("key", auth.Key(secret)))
	require.NotContains(t, out.String(), secret)
	require.Contains(t, out.String(), "[redacted]")

	data, err := json.Marshal(auth.Key(secret))
	require.NoError(t, err)
	require.JSONEq(t, `"`+secret+`"`, string(data), "processes send keys to each other")
}
