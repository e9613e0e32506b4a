// Package peerapi defines the RPC methods and messages between the processes of
// the system.
//
// Usage:
//
//	err := cl.Call(ctx, peerapi.EntryReport, peerapi.Report{...}, &ans)
package peerapi

import (
	"time"

	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/view"

	weir "greengageweir"
)

// The methods of a control process.
const (
	// RaftMessage is a notification with a replica.Message.
	RaftMessage = "raft.message"
	// ViewSubscribe subscribes to the effects after an index of the view.
	ViewSubscribe = "view.subscribe"
	// EntryReport sends the state of an entry instance to the leader.
	EntryReport = "entry.report"
	// ControlPropose sends a command to the leader.
	ControlPropose = "control.propose"
	// ControlProcesses returns the entry processes that the leader knows, with
	// the view and configuration that each has in force.
	ControlProcesses = "control.processes"
)

// The notifications that a control process sends to subscribers.
const (
	// ViewEffects carries changes of the view.
	ViewEffects = "view.effects"
	// ViewSnapshot carries a complete view.
	ViewSnapshot = "view.snapshot"
)

// The methods of an entry process.
const (
	// EntryCall runs a keyed request at an entry instance of the key's home
	// zone.
	EntryCall = "entry.call"
	// EntryRun runs a request on a free slot of the entry instance, if it has
	// one.
	EntryRun = "entry.run"
	// EntryAdvert is a notification of free slots.
	EntryAdvert = "entry.advert"
	// LedgerReserve reserves a key for an attempt.
	LedgerReserve = "ledger.reserve"
	// LedgerFinish records the outcome of an attempt.
	LedgerFinish = "ledger.finish"
	// LedgerJoin waits for the outcome of an attempt in flight.
	LedgerJoin = "ledger.join"
	// LedgerDump returns a page of records.
	LedgerDump = "ledger.dump"
)

// SubscribeRequest is the request of ViewSubscribe.
type SubscribeRequest struct {
	// Have is the index of the subscriber's view, 0 if it has none.
	Have uint64 `json:"have"`
}

// Effects is the content of the notification ViewEffects.
type Effects struct {
	List []view.Effect `json:"list"`
}

// Report is the state of an entry instance, the request of EntryReport.
type Report struct {
	Entry string    `json:"entry"`
	Zone  weir.Zone `json:"zone"`
	// Started distinguishes two processes with the same id.
	Started      time.Time `json:"started"`
	View         uint64    `json:"view"`
	ConfigNumber uint64    `json:"number"`
	// Full is set when Statuses holds all instances that are leased to the entry
	// instance, and not only those that changed.
	Full               bool                        `json:"full,omitempty"`
	Statuses           []command.Status            `json:"statuses,omitempty"`
	DrainConfirmations []command.DrainConfirmation `json:"consents,omitempty"`
	Usage              []command.UsageReport       `json:"usage,omitempty"`
	Demand             []Demand                    `json:"demand,omitempty"`
}

// Demand is the load of one service at one entry instance at the time of the
// report: slots in use, slots in total and waiting requests.
type Demand struct {
	Service weir.ServiceName `json:"service"`
	Busy    int              `json:"busy"`
	Slots   int              `json:"slots"`
	Waiting int              `json:"waiting"`
}

// ReportResponse is the response of EntryReport.
type ReportResponse struct {
	// WantFull requests a full report.
	WantFull bool `json:"wantFull,omitempty"`
	// Acked holds the sequence numbers up to which usage reports are counted.
	Acked []command.UsageAck `json:"acked,omitempty"`
}

// EntryProcess is the state of an entry instance that the leader knows from its
// reports.
type EntryProcess struct {
	ID           string    `json:"id"`
	Zone         weir.Zone `json:"zone"`
	View         uint64    `json:"view"`
	ConfigNumber uint64    `json:"number"`
	// Reporting is false if the last report is too old.
	Reporting    bool      `json:"heard"`
	LastReportAt time.Time `json:"heardAt"`
}

// Advert is the number of free slots of each service at an entry instance.
type Advert struct {
	Entry string                   `json:"entry"`
	Free  map[weir.ServiceName]int `json:"free"`
}

// ReserveRequest is the request of LedgerReserve: it reserves a key for an attempt
// at one replica of the ledger.
type ReserveRequest struct {
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
}

// ReserveState is the result of a reservation at one replica.
type ReserveState string

// The results of a reservation.
const (
	// ReserveGranted means that the attempt holds the key at this replica.
	ReserveGranted ReserveState = "granted"
	// ReserveHeld means that another attempt holds the key.
	ReserveHeld ReserveState = "held"
	// ReserveRecorded means that the key has a recorded outcome.
	ReserveRecorded ReserveState = "recorded"
	// ReserveRefused means that the replica cannot decide: it is recovering or
	// full, or the key is not valid or out of range.
	ReserveRefused ReserveState = "refused"
)

// ReserveResponse is the response of LedgerReserve. Attempt is the holder of
// the key if that is another one, Recorded the recorded outcome and Reason that
// of a refusal.
type ReserveResponse struct {
	State    ReserveState   `json:"state"`
	Attempt  string         `json:"attempt,omitempty"`
	Recorded *weir.Response `json:"answer,omitempty"`
	Reason   string         `json:"reason,omitempty"`
}

// FinishRequest is the request of LedgerFinish. An attempt that did not run frees
// the key.
type FinishRequest struct {
	Key      string        `json:"key"`
	Attempt  string        `json:"attempt"`
	Response weir.Response `json:"answer"`
}

// JoinRequest is the request of LedgerJoin.
type JoinRequest struct {
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
}

// DumpRequest is the request of LedgerDump: the records after a key, in order of
// keys.
type DumpRequest struct {
	After string `json:"after"`
}

// DumpResponse is a page of records, the response of LedgerDump.
type DumpResponse struct {
	Records []Record `json:"records"`
	// Floor is the time after which the replica knows every grant of a key, by
	// the key's timestamp.
	Floor time.Time `json:"floor"`
	// More is set if further records follow.
	More bool `json:"more"`
}

// Record is the ledger's record of one key. Response is nil while the attempt
// has no outcome.
type Record struct {
	Key      string         `json:"key"`
	Attempt  string         `json:"attempt"`
	Response *weir.Response `json:"answer,omitempty"`
}
