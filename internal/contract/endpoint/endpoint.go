// Package endpoint is the contract between entry instances and endpoints:
// announcements under a lease, and the headers of dispatched requests.
//
// Usage:
//
//	POST /v1/announce  Announcement -> Answer
//
// An endpoint leases itself to one entry instance at a time and counts its
// leases (Epoch). It refuses a request that carries another lease than its
// present one, and one that finds no free slot, with status 503 and
// HeaderRefused; such a request did not run.
package endpoint

import (
	"strconv"
	"strings"

	"greengageweir/internal/fleet/command"

	weir "greengageweir"
)

// The headers of a dispatched request and its answer.
const (
	// HeaderLease carries Lease.String.
	HeaderLease = "Weir-Lease"
	// HeaderEntry names the entry instance that dispatches.
	HeaderEntry = "Weir-Entry"
	// HeaderTask is the unique id of the dispatch.
	HeaderTask = "Weir-Task"
	// HeaderKey is the caller's idempotency key, for the endpoint's records.
	HeaderKey = "Weir-Key"
	// HeaderTeam is the caller's team, under which usage is reported.
	HeaderTeam = "Weir-Team"
	// HeaderService is the service that is asked for.
	HeaderService = "Weir-Service"
	// HeaderRefused is set on an answer that says the request did not run.
	HeaderRefused = "Weir-Refused"
)

// The reasons in HeaderRefused.
const (
	RefusedLease   = "lease"
	RefusedSlots   = "slots"
	RefusedLeaving = "leaving"
)

// PathAnnounce is where endpoints announce themselves.
const PathAnnounce = "/v1/announce"

// State is what an endpoint says of itself.
type State string

// The states of an endpoint.
const (
	Serving State = "serving"
	// Leaving endpoints finish what is in flight and take nothing new.
	Leaving State = "leaving"
)

// Lease identifies one lease of one incarnation of an endpoint.
type Lease struct {
	Incarnation uint64 `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
}

// String returns the lease as HeaderLease carries it.
func (le Lease) String() string {
	return strconv.FormatUint(le.Incarnation, 10) + "." + strconv.FormatUint(le.Epoch, 10)
}

// Before reports whether the lease is older than another.
func (le Lease) Before(other Lease) bool {
	if le.Incarnation != other.Incarnation {
		return le.Incarnation < other.Incarnation
	}
	return le.Epoch < other.Epoch
}

// ParseLease reads the text form of a lease.
func ParseLease(text string) (Lease, bool) {
	inc, epoch, ok := strings.Cut(text, ".")
	if !ok {
		return Lease{}, false
	}
	incNum, err1 := strconv.ParseUint(inc, 10, 64)
	epochNum, err2 := strconv.ParseUint(epoch, 10, 64)
	return Lease{Incarnation: incNum, Epoch: epochNum}, err1 == nil && err2 == nil
}

// Announcement is what an endpoint says, about once a second.
type Announcement struct {
	Instance weir.InstanceID `json:"instance"`
	Lease    Lease           `json:"lease"`
	Address  string          `json:"address"`
	Zone     weir.Zone       `json:"zone"`
	Rack     string          `json:"rack,omitempty"`
	State    State           `json:"state"`
	// SeenView is the highest view index that an entry instance told.
	SeenView uint64 `json:"seenView"`
	// InFlight counts the requests that the endpoint works on.
	InFlight int `json:"inFlight"`
	// Usage holds the reports that were not acknowledged yet, oldest first.
	Usage []command.UsageReport `json:"usage,omitempty"`
}

// AnnounceResponse is the entry instance's answer to an announcement.
type AnnounceResponse struct {
	Granted bool   `json:"granted"`
	Reason  string `json:"reason,omitempty"`
	// LeaseMillis is how long the lease holds from the time of the request.
	LeaseMillis int64 `json:"leaseMillis"`
	// AnnounceMillis is when to announce again.
	AnnounceMillis int64 `json:"everyMillis"`
	// UsageMillis is the shortest time between two usage reports; one that
	// leaves reports at once.
	UsageMillis int64            `json:"usageMillis"`
	View        uint64           `json:"view"`
	Service     weir.ServiceName `json:"service,omitempty"`
	Slots       int              `json:"slots"`
	// AckedUsage is the last usage report of this incarnation that is counted.
	AckedUsage uint64 `json:"settled"`
}
