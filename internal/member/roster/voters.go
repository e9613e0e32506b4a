package roster

import (
	"maps"
	"slices"
	"time"

	"greengageweir/internal/state/replica"
)

const (
	// voterTimeout is the time since the last contact after which a voter is
	// replaced: longer than a short pause, shorter than most repairs.
	voterTimeout = 2 * time.Second
	// contactTimeout is the time since the last contact within which a process counts
	// as reachable.
	contactTimeout = voterTimeout / 4
)

// Membership is what the leader knows of the voters and of the processes that can
// replace them.
type Membership struct {
	Leader string
	// Voters and NonVoters map ids to disks. NonVoters are caught up.
	Voters, NonVoters map[string]string
	// SinceContact is the time since each process last replied to the leader. A voter
	// in Unheard has not replied since the leader was elected.
	SinceContact map[string]time.Duration
	Unheard      map[string]bool
	// Leaving processes are about to stop.
	Leaving map[string]bool
	// Want is the target number of voters.
	Want int
}

// membershipOf returns what a leader's core knows.
func membershipOf(now time.Time, core *replica.Core, replicas []string, leaving map[string]bool, want int) Membership {
	st := core.Status()
	ms := Membership{
		Leader: st.ID, Voters: core.MembersAt(st.Last).Voters, NonVoters: map[string]string{},
		SinceContact: core.SinceLastContact(now), Unheard: map[string]bool{}, Leaving: leaving, Want: want,
	}
	for id := range ms.Voters {
		ms.Unheard[id] = !core.HeardFrom(id)
	}
	for _, id := range replicas {
		if disk, ok := core.CaughtUpNonVoter(id); ok {
			ms.NonVoters[id] = disk
		}
	}
	return ms
}

// Next returns the next set of voters and the reason of the change, nil if
// the current set should stay. It first adds a caught-up non-voter and then
// removes a voter that is unreachable or about to stop, so that the set does not
// shrink below its target size while a non-voter is available.
func (ms Membership) Next() (map[string]string, string) {
	out := maps.Clone(ms.Voters)
	if len(ms.Voters) > ms.Want {
		removed := ms.superfluous()
		if removed == "" {
			return nil, ""
		}
		delete(out, removed)
		return out, "more voters than wanted"
	}
	if len(ms.Voters) == ms.Want && ms.departing() == "" {
		return nil, ""
	}
	id := ms.Replacement()
	if id == "" {
		return nil, ""
	}
	out[id] = ms.NonVoters[id]
	return out, "non-voter promoted"
}

// Replacement returns the non-voter that becomes a voter next, "" if none can.
func (ms Membership) Replacement() string {
	for _, id := range slices.Sorted(maps.Keys(ms.NonVoters)) {
		if ms.SinceContact[id] <= contactTimeout && !ms.Leaving[id] {
			return id
		}
	}
	return ""
}

// departing returns the voter to replace: the one that is unreachable for the longest
// time, else one that is about to stop. It is "" if there is none.
func (ms Membership) departing() string {
	unreachable, leaving := "", ""
	for _, id := range slices.Sorted(maps.Keys(ms.Voters)) {
		if id != ms.Leader && ms.SinceContact[id] > voterTimeout && (unreachable == "" || ms.SinceContact[id] > ms.SinceContact[unreachable]) {
			unreachable = id
		}
		if ms.Leaving[id] && (leaving == "" || leaving == ms.Leader) {
			leaving = id
		}
	}
	if unreachable != "" {
		return unreachable
	}
	return leaving
}

// superfluous returns the voter to remove where there are more than wanted. While a
// voter may be unreachable, no other one is removed; then it is "".
func (ms Membership) superfluous() string {
	if id := ms.departing(); id != "" {
		return id
	}
	last := ""
	for id := range ms.Voters {
		if id == ms.Leader {
			continue
		}
		if ms.Unheard[id] || ms.SinceContact[id] > contactTimeout {
			return ""
		}
		last = max(last, id)
	}
	return last
}
