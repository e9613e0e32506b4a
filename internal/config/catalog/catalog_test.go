package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDocumentMustBeReadable guards against a configuration that is in force and
// cannot be read back.
func TestDocumentMustBeReadable(t *testing.T) {
	cases := map[string]struct {
		document string
		good     bool
	}{
		"one document":        {`{"version":1}` + "\n", true},
		"no document":         {"", true},
		"half another behind": {`{"version":1}}{"version":`, false},
		"two documents":       {`{"version":1}{"version":2}`, false},
		"cut short":           {`{"version":1`, false},
		"not UTF-8":           {"{\"version\":1,\"x\":\"\xff\"}", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ct := Catalog{
				Version: 1, Pools: []Pool{{Name: "p"}}, Document: []byte(tc.document),
				Queues: []Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Timeout: time.Second}},
			}
			require.Equal(t, tc.good, ct.Check() == nil)
		})
	}
}
