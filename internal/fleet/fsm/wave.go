package fsm

import (
	"slices"
	"sort"
	"time"

	"greengageweir/internal/fleet/command"

	weir "greengageweir"
)

func (st *state) applyWave(cmd command.Command) command.Result {
	wc := cmd.Wave
	if _, ok := st.Waves[wc.Name]; ok {
		return refuse(command.RefusedConflict, "wave %s exists already", wc.Name)
	}
	if wc.Name == "" || wc.MaxParallel < 1 {
		return refuse(command.RefusedInvalid, "a wave needs a name and at least one instance in parallel")
	}
	for _, pool := range wc.Pools {
		if _, ok := st.Config.Pools[pool]; !ok {
			return refuse(command.RefusedNotFound, "no pool is named %s", pool)
		}
	}
	for _, zone := range wc.Zones {
		if _, ok := st.Config.Sites[zone]; !ok {
			return refuse(command.RefusedNotFound, "no site is named %s", zone)
		}
	}
	wave := &Wave{
		Name: wc.Name, State: WaveRunning, MaxParallel: wc.MaxParallel, CreatedAt: cmd.At,
		Pending: st.selectInstances(wc), Active: map[weir.InstanceID]bool{},
		Done: map[weir.InstanceID]bool{}, Stuck: map[weir.InstanceID]bool{},
	}
	st.Waves[wc.Name] = wave
	wave.finishIfDone(cmd.At)
	st.pruneWaves()
	return command.Result{}
}

func (st *state) selectInstances(wc *command.WaveCreate) map[weir.InstanceID]bool {
	picked := map[weir.InstanceID]bool{}
	for id, mem := range st.Members {
		if matches(wc.Pools, mem.Pool) && matches(wc.Zones, mem.Zone) {
			picked[id] = true
		}
	}
	return picked
}

// matches reports whether a filter contains a value. An empty filter matches all.
func matches[T comparable](filter []T, val T) bool {
	return len(filter) == 0 || slices.Contains(filter, val)
}

func (st *state) applyWaveSet(cmd command.Command) command.Result {
	ws := cmd.WaveSet
	wave, ok := st.Waves[ws.Name]
	if !ok {
		return refuse(command.RefusedNotFound, "no wave is named %s", ws.Name)
	}
	switch {
	case ws.Action == command.WavePause && wave.State == WaveRunning:
		wave.State = WavePaused
	case ws.Action == command.WaveResume && wave.State == WavePaused:
		wave.State = WaveRunning
		wave.finishIfDone(cmd.At)
	case ws.Action == command.WaveAbort && (wave.State == WaveRunning || wave.State == WavePaused):
		wave.State = WaveAborted
		wave.EndedAt = cmd.At
	default:
		return refuse(command.RefusedWrongState, "cannot %s wave %s, it is %s", ws.Action, ws.Name, wave.State)
	}
	return command.Result{}
}

// finishIfDone marks a running wave as done if no instances are left.
func (wv *Wave) finishIfDone(now time.Time) {
	if wv.State == WaveRunning && len(wv.Pending) == 0 && len(wv.Active) == 0 {
		wv.State = WaveDone
		wv.EndedAt = now
	}
}

// pruneWaves removes the waves that ended first, beyond maxKeptWaves.
func (st *state) pruneWaves() {
	if len(st.Waves) <= maxKeptWaves {
		return
	}
	ended := make([]*Wave, 0, len(st.Waves))
	for _, wave := range st.Waves {
		if !wave.EndedAt.IsZero() && len(wave.Active) == 0 {
			ended = append(ended, wave)
		}
	}
	sort.Slice(ended, func(a, b int) bool {
		if ended[a].EndedAt.Equal(ended[b].EndedAt) {
			return ended[a].Name < ended[b].Name
		}
		return ended[a].EndedAt.Before(ended[b].EndedAt)
	})
	for ix := 0; ix < len(ended) && len(st.Waves) > maxKeptWaves; ix++ {
		delete(st.Waves, ended[ix].Name)
	}
}
