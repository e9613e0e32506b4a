package file

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/config/model"
)

func TestValidFiles(t *testing.T) {
	for _, dir := range []string{"testdata/good", "../../../examples/alokchitra", "../../../examples/retourpost"} {
		t.Run(dir, func(t *testing.T) {
			cfg, err := LoadFolder(dir)
			require.NoError(t, err)
			require.Empty(t, cfg.Check())
			again := model.Config{}.With(model.Diff(model.Config{}, cfg))
			require.Equal(t, cfg, again, "the delta from an empty configuration contains everything")
		})
	}
}

func TestInvalidFiles(t *testing.T) {
	cases := []struct {
		dir, file string
		line      int
		path      string
		message   string
	}{
		{"unknown-key", "base.yaml", 12, "services[0].queueLenght", "unknown key"},
		{"duplicate-key", "base.yaml", 10, "teams[0].quotaSlots", "duplicate key, first on line 9"},
		{"wrong-unit", "base.yaml", 13, "services[0].timeout", "want a duration with a unit"},
		{"wrong-memory-unit", "overlays/north.yaml", 3, "instances[0].memory", "want a size with the unit MiB"},
		{"unknown-site", "overlays/north.yaml", 1, "site", "unknown site south"},
		{"budget-larger-than-pool", "base.yaml", 17, "pools[0].minAvailable", "larger than the pool of 1"},
		{"pool-named-twice", "base.yaml", 18, "pools[1].name", "declared twice"},
		{"instance-in-two-pools", "overlays/north.yaml", 4, "instances[1].pool", "in two pools"},
		{"unknown-pool", "overlays/north.yaml", 4, "instances[1].pool", "no pool is named sparse"},
		{"unknown-service", "base.yaml", 19, "pools[1].service", "no service is named disk"},
		{"out-of-range", "base.yaml", 3, "limits.slotsPerInstance", "want 1 to 1024"},
		{"not-yaml", "base.yaml", 14, "", "not YAML"},
		{"second-document", "base.yaml", 21, "", "more than one document"},
	}
	for _, tc := range cases {
		t.Run(tc.dir, func(t *testing.T) {
			dir := filepath.Join("testdata/broken", tc.dir)
			_, err := LoadFolder(dir)
			var er *Error
			require.True(t, errors.As(err, &er))
			require.Equal(t, KindInvalid, er.Kind)
			first := er.Problems[0]
			require.Equal(t, filepath.Join(dir, tc.file), first.File)
			require.Equal(t, tc.line, first.Line)
			require.Equal(t, tc.path, first.Path)
			require.Contains(t, first.Message, tc.message)
		})
	}
}

func TestSampleAndSchema(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(dir, "overlays"), 0o750))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "base.yaml"), []byte(SampleBase), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "overlays", "north.yaml"), []byte(SampleOverlay), 0o600))
	_, err := LoadFolder(dir)
	require.NoError(t, err)
	require.True(t, json.Valid([]byte(Schema)))
}
