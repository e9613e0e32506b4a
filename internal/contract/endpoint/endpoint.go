// Package endpoint defines the HTTP API between entry instances and endpoints:
// the announcements of endpoints and the headers of dispatched requests.
//
// Usage:
//
//	POST /v1/announce  Announcement -> AnnounceResponse
//
// An endpoint is leased to one entry instance at a time and numbers its leases
// (Lease.Epoch). It refuses a request with a lease other than the current one,
// and one for which it has no free slot, with status 503 and HeaderRefused.
// Such a request did not run.
package endpoint

import (
	"strconv"
	"strings"

	"greengageweir/internal/fleet/command"

	weir "greengageweir"
)

// The headers of a dispatched request and its response.
const (
	// HeaderLease is the lease in the format of Lease.String.
	HeaderLease = "Weir-Lease"
	// HeaderEntry is the id of the entry instance that dispatches the request.
	HeaderEntry = "Weir-Entry"
	// HeaderTask is the unique id of the dispatch.
	HeaderTask = "Weir-Task"
	// HeaderKey is the caller's idempotency key, for the endpoint's records.
	HeaderKey = "Weir-Key"
	// HeaderTeam is the caller's team, under which usage is reported.
	HeaderTeam = "Weir-Team"
	// HeaderService is the name of the requested service.
	HeaderService = "Weir-Service"
	// HeaderRefused is the reason in the response to a request that the endpoint
	// refused and did not run.
	HeaderRefused = "Weir-Refused"
)

// The values of HeaderRefused.
const (
	// RefusedLease means that the request has another lease than the endpoint.
	RefusedLease = "lease"
	// RefusedSlots means that the endpoint has no free slot.
	RefusedSlots = "slots"
	// RefusedLeaving means that the endpoint is shutting down.
	RefusedLeaving = "leaving"
)

// PathAnnounce is the path for announcements of endpoints.
const PathAnnounce = "/v1/announce"

// State is the state that an endpoint reports.
type State string

// The states of an endpoint.
const (
	Serving State = "serving"
	// Leaving endpoints finish the requests in flight and accept no new ones.
	Leaving State = "leaving"
)

// Lease identifies a lease of an endpoint: Epoch numbers the leases of one
// Incarnation.
type Lease struct {
	Incarnation uint64 `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
}

// String returns the lease in the format of HeaderLease,
// "incarnation.epoch".
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

// ParseLease parses a lease in the format of Lease.String and reports whether
// it is valid.
func ParseLease(text string) (Lease, bool) {
	inc, epoch, ok := strings.Cut(text, ".")
	if !ok {
		return Lease{}, false
	}
	incNum, err1 := strconv.ParseUint(inc, 10, 64)
	epochNum, err2 := strconv.ParseUint(epoch, 10, 64)
	return Lease{Incarnation: incNum, Epoch: epochNum}, err1 == nil && err2 == nil
}

// Announcement is the request that an endpoint sends about once a second to
// obtain or renew its lease.
type Announcement struct {
	Instance weir.InstanceID `json:"instance"`
	Lease    Lease           `json:"lease"`
	Address  string          `json:"address"`
	Zone     weir.Zone       `json:"zone"`
	Rack     string          `json:"rack,omitempty"`
	State    State           `json:"state"`
	// SeenView is the highest view index that the endpoint has received from an
	// entry instance.
	SeenView uint64 `json:"seenView"`
	// InFlight is the number of requests that the endpoint is running.
	InFlight int `json:"inFlight"`
	// Usage holds the unacknowledged usage reports, oldest first.
	Usage []command.UsageReport `json:"usage,omitempty"`
}

// AnnounceResponse is the response to an Announcement.
type AnnounceResponse struct {
	Granted bool `json:"granted"`
	// Reason is set when the lease is not granted.
	Reason string `json:"reason,omitempty"`
	// LeaseMillis is the validity of the lease from the time of the request.
	LeaseMillis int64 `json:"leaseMillis"`
	// AnnounceMillis is the time until the next announcement.
	AnnounceMillis int64 `json:"everyMillis"`
	// UsageMillis is the minimum time between two usage reports. An endpoint
	// that is leaving reports at once.
	UsageMillis int64            `json:"usageMillis"`
	View        uint64           `json:"view"`
	Service     weir.ServiceName `json:"service,omitempty"`
	Slots       int              `json:"slots"`
	// AckedUsage is the sequence number of the last usage report of this
	// incarnation that the leader has counted.
	AckedUsage uint64 `json:"settled"`
}
