package view

import (
	"testing"

	"github.com/stretchr/testify/require"

	weir "greengageweir"
	"greengageweir/internal/common/errkind"
	"greengageweir/internal/config/model"
)

func TestOlderEffectsAreIgnored(t *testing.T) {
	first := Effect{Index: 3, ConfigNumber: 1, Config: &model.Delta{Name: "one"}, Members: []Member{{Instance: "n0", Pool: "desk", Phase: Serving}}}
	second := Effect{PrevIndex: 3, Index: 7, ConfigNumber: 2, Config: &model.Delta{Name: "two"}, Removed: []weir.InstanceID{"n0"}}
	vw, err := View{}.With(first)
	require.NoError(t, err)
	require.Equal(t, "one", vw.Config.Name)
	newer, err := vw.With(second)
	require.NoError(t, err)
	require.Equal(t, uint64(7), newer.Index)
	require.Empty(t, newer.Members)
	require.Len(t, vw.Members, 1, "the earlier view must not change")
	for _, old := range []Effect{first, second} {
		again, err := newer.With(old)
		require.NoError(t, err, "an older effect is ignored")
		require.Equal(t, newer, again)
	}
	_, err = newer.With(Effect{PrevIndex: 8, Index: 9})
	require.True(t, errkind.Is(err, KindGap))
}
