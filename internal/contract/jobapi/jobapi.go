// Package jobapi holds the calls about jobs, configuration, workers and waves
// that any process of the system may take and the leader answers.
//
// Usage:
//
//	rep, err := handler.Handle(ctx, jobapi.Call{Kind: jobapi.Submit, Host: host, Path: path, Job: job})
package jobapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// CallMethod is the name of the call between processes.
const CallMethod = "job.call"

// DirectoryMethod asks a holder of the log for all of them, and introduces the
// asking process, see Introduction.
const DirectoryMethod = "member.directory"

// Kind tells calls apart.
type Kind string

// The kinds of calls.
const (
	// Submit, State and Cancel name a queue by Host and Path; what follows the
	// queue's prefix in Path is the job's id. Without an id, State asks how
	// many of the queue's jobs have not begun.
	Submit   Kind = "submit"
	GetState Kind = "state"
	Cancel   Kind = "cancel"
	// PutCatalog and GetCatalog change and read the configuration.
	PutCatalog Kind = "putCatalog"
	GetCatalog Kind = "getCatalog"
	// Announce and Depart are a worker's.
	Announce Kind = "announce"
	Depart   Kind = "depart"
	// StartWave and GetWave are about maintenance.
	StartWave Kind = "startWave"
	GetWave   Kind = "getWave"
)

// Call is one call. Fields that its kind does not use are empty.
type Call struct {
	Kind Kind   `json:"kind"`
	Host string `json:"host,omitempty"`
	Path string `json:"path,omitempty"`
	// Job is what is submitted, without id and queue.
	Job *spec.Job `json:"job,omitempty"`
	// Catalog is packed before it is passed on.
	Catalog *catalog.Catalog `json:"-"`
	Packed  *catalog.Packed  `json:"packed,omitempty"`
	Worker  *Announcement    `json:"worker,omitempty"`
	Wave    *store.Wave      `json:"wave,omitempty"`
	// Number is a wave's, or the version of the configuration that the asking
	// process holds.
	Number int64 `json:"number,omitempty"`
	// Hops counts the processes that forwarded the call.
	Hops int `json:"hops,omitempty"`
}

// Announcement is a worker's word about itself.
type Announcement struct {
	store.Worker
	// Clock is the worker's steady clock.
	Clock time.Duration `json:"clock"`
	// DrainRemaining is the least time that is left to a draining worker.
	DrainRemaining time.Duration `json:"drainLeft,omitempty"`
}

// Outcome is how a call ended.
type Outcome string

// The outcomes.
const (
	OK Outcome = "ok"
	// NoQueue says that the configuration has no such queue.
	NoQueue Outcome = "noQueue"
	// NoJob says that there is no such job or wave.
	NoJob Outcome = "noJob"
	// Invalid says that the call can never succeed as it is.
	Invalid Outcome = "invalid"
	// Refused says that the call certainly had no effect; RetryAfter tells
	// when it may succeed.
	Refused Outcome = "refused"
	// Unavailable says that no leader could be asked; the call certainly had
	// no effect.
	Unavailable Outcome = "unavailable"
	// Unknown says that the call may or may not take effect.
	Unknown Outcome = "unknown"
)

// HTTPStatus is the HTTP status that tells an outcome. 503 and 429 promise that
// the call had no effect, 504 leaves it open.
func (oc Outcome) HTTPStatus() int {
	switch oc {
	case OK:
		return http.StatusOK
	case NoQueue:
		return http.StatusNotFound
	case NoJob:
		return http.StatusGone
	case Invalid:
		return http.StatusBadRequest
	case Refused:
		return http.StatusTooManyRequests
	case Unavailable:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

// SetRetryAfter tells the caller when to come back, in whole seconds.
func (rep Reply) SetRetryAfter(header http.Header) {
	if rep.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int((rep.RetryAfter+time.Second-1)/time.Second)))
	}
}

// Reply is the answer to a call.
type Reply struct {
	Outcome  Outcome     `json:"outcome"`
	Reason   string      `json:"reason,omitempty"`
	Phase    store.Phase `json:"phase,omitempty"`
	Pending  int         `json:"pending,omitempty"`
	Document []byte      `json:"document,omitempty"`
	// Version and Packed are the newest configuration; Packed is empty where
	// the asking process holds it.
	Version    int64           `json:"version,omitempty"`
	Packed     *catalog.Packed `json:"packed,omitempty"`
	Done       bool            `json:"done,omitempty"`
	RetryAfter time.Duration   `json:"retryAfter,omitempty"`
	// Leader is the process that answered, where it leads.
	Leader string `json:"leader,omitempty"`
	// AnnounceTo is the process to which a worker should announce itself from
	// now on; empty is any.
	AnnounceTo string `json:"announceTo,omitempty"`
}

// Handler answers calls.
type Handler interface {
	Handle(ctx context.Context, call Call) Reply
}

// DirectoryRequest is what a process says of itself in Directory.
type DirectoryRequest struct {
	// Replica is set for processes that hold the log.
	Replica bool   `json:"holder,omitempty"`
	ID      string `json:"id"`
}

// DirectoryReply is the answer to Directory.
type DirectoryReply struct {
	Replicas []string `json:"holders"`
	Leader   string   `json:"leader,omitempty"`
}

// ResolveQueue splits a path into the queue's and the job's part.
func ResolveQueue(ct catalog.Catalog, host, path string) (catalog.Queue, weir.JobID, bool) {
	qu, ok := ct.QueueForPath(host, path)
	if !ok {
		return catalog.Queue{}, "", false
	}
	return qu, weir.JobID(path[len(qu.Prefix):]), true
}
