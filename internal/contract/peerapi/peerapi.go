// Package peerapi holds the methods and messages between the system's own
// processes.
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
	// ViewSubscribe asks for effects behind an index.
	ViewSubscribe = "view.subscribe"
	// EntryReport carries what an entry instance knows; it reaches the leader.
	EntryReport = "entry.report"
	// ControlPropose carries a command to the leader.
	ControlPropose = "control.propose"
	// ControlProcesses asks the leader for the state of the roll-out.
	ControlProcesses = "control.processes"
)

// The notifications that a control process sends to subscribers.
const (
	ViewEffects  = "view.effects"
	ViewSnapshot = "view.snapshot"
)

// The methods of an entry process.
const (
	// EntryCall runs a request at the key's home.
	EntryCall = "entry.call"
	// EntryRun runs a request on a free slot of the entry instance, if any.
	EntryRun = "entry.run"
	// EntryAdvert is a notification of free slots.
	EntryAdvert   = "entry.advert"
	LedgerReserve = "ledger.reserve"
	LedgerFinish  = "ledger.finish"
	LedgerJoin    = "ledger.join"
	LedgerDump    = "ledger.dump"
)

// Subscribe is the request of ViewSubscribe.
type Subscribe struct {
	Have uint64 `json:"have"`
}

// Effects is the notification ViewEffects.
type Effects struct {
	List []view.Effect `json:"list"`
}

// Report is what an entry instance tells the leader.
type Report struct {
	Entry string    `json:"entry"`
	Zone  weir.Zone `json:"zone"`
	// Started tells two processes under one name apart.
	Started      time.Time `json:"started"`
	View         uint64    `json:"view"`
	ConfigNumber uint64    `json:"number"`
	// Full is set when Statuses holds all instances that the entry owns.
	Full     bool                        `json:"full,omitempty"`
	Statuses []command.Status            `json:"statuses,omitempty"`
	Consents []command.DrainConfirmation `json:"consents,omitempty"`
	Usage    []command.UsageReport       `json:"usage,omitempty"`
	Demand   []Demand                    `json:"demand,omitempty"`
}

// Demand is the load of one service at one entry instance since the last
// report.
type Demand struct {
	Service weir.ServiceName `json:"service"`
	Busy    int              `json:"busy"`
	Slots   int              `json:"slots"`
	Waiting int              `json:"waiting"`
}

// ReportResponse is the leader's answer.
type ReportResponse struct {
	// WantFull asks for a full report.
	WantFull bool               `json:"wantFull,omitempty"`
	Acked    []command.UsageAck `json:"acked,omitempty"`
}

// EntryProcess is an entry instance as the leader knows it.
type EntryProcess struct {
	ID           string    `json:"id"`
	Zone         weir.Zone `json:"zone"`
	View         uint64    `json:"view"`
	ConfigNumber uint64    `json:"number"`
	// Reporting is false for a process that has not reported lately.
	Reporting    bool      `json:"heard"`
	LastReportAt time.Time `json:"heardAt"`
}

// Advert tells how many slots of a service are free at an entry instance.
type Advert struct {
	Entry string                   `json:"entry"`
	Free  map[weir.ServiceName]int `json:"free"`
}

// Reserve asks a replica of the ledger to hold a key for an attempt.
type Reserve struct {
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
}

// ReserveState is a replica's answer to a reservation.
type ReserveState string

// The answers to a reservation.
const (
	ReserveGranted  ReserveState = "granted"
	ReserveHeld     ReserveState = "held"
	ReserveRecorded ReserveState = "recorded"
	// ReserveRefused says that the replica can't tell: it recovers, is full,
	// or the key is too old.
	ReserveRefused ReserveState = "refused"
)

// ReserveResponse is a replica's answer.
type ReserveResponse struct {
	State   ReserveState   `json:"state"`
	Attempt string         `json:"attempt,omitempty"`
	Answer  *weir.Response `json:"answer,omitempty"`
	Reason  string         `json:"reason,omitempty"`
}

// Finish records the outcome of an attempt; an outcome that did not run frees
// the key.
type Finish struct {
	Key     string        `json:"key"`
	Attempt string        `json:"attempt"`
	Answer  weir.Response `json:"answer"`
}

// Join asks for the outcome of an attempt that is in flight.
type Join struct {
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
}

// Dump asks for ledger records behind a key, in order of keys.
type Dump struct {
	After string `json:"after"`
}

// DumpResponse is a page of records.
type DumpResponse struct {
	Records []Record `json:"records"`
	// Floor is the stamp above which the replica remembers every grant.
	Floor time.Time `json:"floor"`
	More  bool      `json:"more"`
}

// Record is one record of the ledger.
type Record struct {
	Key     string         `json:"key"`
	Attempt string         `json:"attempt"`
	Answer  *weir.Response `json:"answer,omitempty"`
}
