// Package jobapi defines the calls about jobs, configuration, workers and waves.
// Any process of the system accepts them, and the leader handles them.
//
// Usage:
//
//	rep := handler.Handle(ctx, jobapi.Call{Kind: jobapi.Submit, Host: host, Path: path, Job: job})
package jobapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// CallMethod is the method that forwards a Call from one process to another.
const CallMethod = "job.call"

// DirectoryMethod is the method that asks a replica of the log for the list of
// all replicas. Its request is a DirectoryRequest, its reply a DirectoryReply.
const DirectoryMethod = "member.directory"

// Kind is the kind of a call.
type Kind string

// The kinds of calls.
const (
	// Submit, GetState and Cancel identify a queue by Host and Path; the rest of
	// Path after the queue's prefix is the job's id. Without an id, GetState
	// returns the number of the queue's jobs that have not started.
	Submit   Kind = "submit"
	GetState Kind = "state"
	Cancel   Kind = "cancel"
	// PutCatalog and GetCatalog write and read the configuration.
	PutCatalog Kind = "putCatalog"
	GetCatalog Kind = "getCatalog"
	// Announce and Depart register and deregister a worker.
	Announce Kind = "announce"
	Depart   Kind = "depart"
	// StartWave and GetWave start and query a maintenance wave.
	StartWave Kind = "startWave"
	GetWave   Kind = "getWave"
	// ListTeams returns the teams with what they use.
	ListTeams Kind = "listTeams"
)

// Call is one call. Fields that its kind does not use are empty.
type Call struct {
	Kind Kind   `json:"kind"`
	Host string `json:"host,omitempty"`
	Path string `json:"path,omitempty"`
	// Key is the API key that the caller presented; it may be empty.
	Key auth.Key `json:"key,omitempty"`
	// Job is the submitted job, without id and queue.
	Job *spec.Job `json:"job,omitempty"`
	// Catalog is set only in the process that received the call; Packed replaces
	// it before the call is forwarded.
	Catalog *catalog.Catalog `json:"-"`
	Packed  *catalog.Packed  `json:"packed,omitempty"`
	Worker  *Announcement    `json:"worker,omitempty"`
	Wave    *store.Wave      `json:"wave,omitempty"`
	// Number is the number of a wave or, for GetCatalog, the version of the
	// configuration that the calling process has.
	Number int64 `json:"number,omitempty"`
	// Hops counts the processes that forwarded the call.
	Hops int `json:"hops,omitempty"`
}

// Announcement is a worker's description of itself.
type Announcement struct {
	store.Worker
	// Clock is the reading of the worker's monotonic clock.
	Clock time.Duration `json:"clock"`
	// DrainRemaining is the minimum time that a draining worker keeps running.
	DrainRemaining time.Duration `json:"drainLeft,omitempty"`
}

// Outcome is the outcome of a call.
type Outcome string

// The outcomes.
const (
	OK Outcome = "ok"
	// NoQueue means that the configuration has no such queue.
	NoQueue Outcome = "noQueue"
	// NoJob means that there is no such job or wave.
	NoJob Outcome = "noJob"
	// Invalid means that the call can never succeed as it is.
	Invalid Outcome = "invalid"
	// Unauthorized means that the queue requires a key and the call has none of a
	// team; it certainly had no effect.
	Unauthorized Outcome = "unauthorized"
	// Refused means that the call certainly had no effect; RetryAfter tells when
	// it may succeed.
	Refused Outcome = "refused"
	// Unavailable means that no leader was reachable; the call certainly had no
	// effect.
	Unavailable Outcome = "unavailable"
	// Unknown means that the call may or may not take effect.
	Unknown Outcome = "unknown"
)

// HTTPStatus returns the HTTP status code of an outcome. 401, 429 and 503 guarantee
// that the call had no effect; after 504 it may or may not take effect.
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
	case Unauthorized:
		return http.StatusUnauthorized
	case Refused:
		return http.StatusTooManyRequests
	case Unavailable:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

// SetRetryAfter sets the Retry-After header in whole seconds, rounded up, if
// RetryAfter is set.
func (rep Reply) SetRetryAfter(header http.Header) {
	if rep.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int((rep.RetryAfter+time.Second-1)/time.Second)))
	}
}

// Reply is the reply to a call.
type Reply struct {
	Outcome  Outcome     `json:"outcome"`
	Reason   string      `json:"reason,omitempty"`
	Phase    store.Phase `json:"phase,omitempty"`
	Pending  int         `json:"pending,omitempty"`
	Document []byte      `json:"document,omitempty"`
	// Version and Packed are the newest configuration; Packed is nil if the
	// calling process has that version.
	Version    int64           `json:"version,omitempty"`
	Packed     *catalog.Packed `json:"packed,omitempty"`
	Done       bool            `json:"done,omitempty"`
	Teams      []TeamStatus    `json:"teams,omitempty"`
	RetryAfter time.Duration   `json:"retryAfter,omitempty"`
	// Leader is the id of the leader, if it handled the call.
	Leader string `json:"leader,omitempty"`
	// AnnounceTo is the process that a worker should send its announcements to
	// from now on; empty means any.
	AnnounceTo string `json:"announceTo,omitempty"`
}

// TeamStatus describes a team; it contains no keys.
type TeamStatus struct {
	Name   weir.TeamName `json:"name"`
	Weight float64       `json:"weight,omitempty"`
	// Cap and Use are what the team's runs may request and do request; a resource
	// with a cap of 0 has no limit.
	Cap spec.Resources `json:"cap,omitzero"`
	Use spec.Resources `json:"use,omitzero"`
	// RunningJobs counts the jobs with a run that may be on a worker, PendingJobs the
	// others that have not ended.
	PendingJobs int `json:"pendingJobs,omitempty"`
	RunningJobs int `json:"runningJobs,omitempty"`
	// Removed teams are not in the configuration; their accepted jobs continue.
	Removed bool `json:"removed,omitempty"`
}

// Handler handles calls.
type Handler interface {
	Handle(ctx context.Context, call Call) Reply
}

// DirectoryRequest describes the calling process to DirectoryMethod.
type DirectoryRequest struct {
	// Replica is set if the process keeps a replica of the log.
	Replica bool   `json:"holder,omitempty"`
	ID      string `json:"id"`
}

// DirectoryReply is the reply to DirectoryMethod.
type DirectoryReply struct {
	Replicas []string `json:"holders"`
	Leader   string   `json:"leader,omitempty"`
	// Voters are the processes of which a majority elects the leader, empty if the
	// process knows no leader.
	Voters []string `json:"voters,omitempty"`
}

// LeaveMethod is the method by which a replica of the log that is about to stop asks the
// leader to replace it as a voter. Its request is a LeaveRequest, its reply a
// LeaveReply. The caller repeats it until it is released.
const LeaveMethod = "member.leave"

// LeaveRequest names the process that is about to stop.
type LeaveRequest struct {
	ID string `json:"id"`
}

// LeaveReply is the reply to LeaveMethod.
type LeaveReply struct {
	// Released says that the process may stop: a committed set of voters lacks it, or
	// no other process can replace it.
	Released bool `json:"released,omitempty"`
	// Replaced says that it is no voter, or no longer.
	Replaced bool `json:"replaced,omitempty"`
}

// ResolveQueue returns the queue of a path and the job id that follows the queue's
// prefix; the id may be empty. It reports false if there is no such queue.
func ResolveQueue(ct catalog.Catalog, host, path string) (catalog.Queue, weir.JobID, bool) {
	qu, ok := ct.QueueForPath(host, path)
	if !ok {
		return catalog.Queue{}, "", false
	}
	return qu, weir.JobID(path[len(qu.Prefix):]), true
}
