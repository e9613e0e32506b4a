package inspect

import (
	"fmt"
	"strings"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// keyPlace is the first place of a key in the document.
type keyPlace struct{ team, key int }

func (rp *report) checkTeams(ct jobhttp.Catalog, usual UsualJob) {
	if ct.Teams == nil {
		return
	}
	weighted := false
	for _, tm := range ct.Teams {
		weighted = weighted || tm.Weight > 0
	}
	first, places, usable := map[weir.TeamName]int{}, map[auth.Key]keyPlace{}, false
	for ix, tm := range ct.Teams {
		path := fmt.Sprintf("teams[%d]", ix)
		other, doubled := first[tm.Name]
		switch {
		case tm.Name == "":
			rp.fail(path+".name", "is empty")
		case doubled:
			rp.fail(path+".name", "team %q is also teams[%d]", tm.Name, other)
		}
		if !doubled {
			first[tm.Name] = ix
		}
		switch {
		case tm.Weight < 0:
			rp.fail(path+".weight", "team %q has a negative weight", tm.Name)
		case tm.Weight == 0 && weighted:
			rp.warn(path+".weight", "is 0 beside weights above 0: team %q gets only what the others leave of a full pool", tm.Name)
		}
		rp.checkCap(path+".cap", tm, usual)
		usable = rp.checkKeys(path, ix, ct.Teams, places) || usable
	}
	closed := 0
	for _, qu := range ct.Queues {
		if !qu.Public {
			closed++
		}
	}
	if !usable && closed > 0 {
		rp.warn("teams", "no team has a usable key: all calls to the queues that are not public (%d) are refused", closed)
	}
}

// checkKeys reports whether the team has a key that calls can present.
func (rp *report) checkKeys(path string, ix int, teams []jobhttp.Team, places map[auth.Key]keyPlace) bool {
	tm, usable := teams[ix], false
	for kx, key := range tm.Keys {
		keyPath := fmt.Sprintf("%s.keys[%d]", path, kx)
		other, known := places[key]
		switch {
		case !known:
			places[key] = keyPlace{team: ix, key: kx}
		case teams[other.team].Name != tm.Name:
			rp.fail(keyPath, "team %q shares this key with team %q, teams[%d].keys[%d]", tm.Name, teams[other.team].Name, other.team, other.key)
		default:
			rp.warn(keyPath, "is the same key as teams[%d].keys[%d]", other.team, other.key)
		}
		if reason := unusableKey(string(key)); reason != "" {
			rp.warn(keyPath, "%s", reason)
			continue
		}
		usable = true
	}
	if len(tm.Keys) == 0 {
		rp.warn(path+".keys", "team %q has no key: no call can belong to it", tm.Name)
	}
	return usable
}

// checkCap checks a team's cap by the rule with which submits are refused: the tasks of
// a gang start together, other tasks may run one after the other.
func (rp *report) checkCap(path string, tm jobhttp.Team, usual UsualJob) {
	together := max(usual.GangSize, 1)
	for _, cr := range catalog.CapResources {
		limit, request := cr.Of(spec.Resources(tm.Cap)), cr.Of(usual.Request)
		switch {
		case limit < 0:
			rp.fail(path+"."+cr.Name, "team %q has a negative cap", tm.Name)
		case limit > 0 && request > limit/together:
			rp.warn(path+"."+cr.Name, "is %d: usual jobs, which start %s of %d at once, are refused",
				limit, plural(int64(together), "task"), request)
		}
	}
}

// unusableKey returns why no call can present the key, "" if one can. Spaces at the end
// of a header are not part of its value.
func unusableKey(key string) string {
	control := func(ch rune) bool { return ch < ' ' && ch != '\t' || ch == 0x7f }
	switch {
	case key == "":
		return "is empty and lets nobody in"
	case strings.TrimRight(key, " \t") != key:
		return "ends with white space: no call can present it"
	case strings.ContainsFunc(key, control):
		return "contains a control character: no call can present it"
	}
	return ""
}
