// Package jobhttp implements the product's own HTTP API for jobs, queues, workers
// and waves: JSON bodies, durations in milliseconds.
//
//	PUT    /v1/catalog                      queues, pools and teams, with an increasing version
//	GET    /v1/catalog                      without the teams' keys
//	GET    /v1/teams                        {"teams":[{"name":"counters","weight":2,"pendingJobs":3,...}]}
//	POST   /v1/jobs    {"queue":"Q","id":"ID","job":{...}}   idempotent
//	GET    /v1/jobs?queue=Q&id=ID           {"phase":"running"}
//	GET    /v1/jobs?queue=Q                 {"pending":12}
//	DELETE /v1/jobs?queue=Q&id=ID           cancels
//	PUT    /v1/workers/ID, DELETE /v1/workers/ID
//	POST   /v1/waves, GET /v1/waves/NUMBER
//
// If the catalog has teams, calls to /v1/jobs need a key of one, unless the queue is
// public: "Authorization: Bearer KEY".
//
// Errors: 400 can never succeed, 401 no key or an unknown one, 404 no such queue, 410
// no such job or wave, 429 and 503 certainly had no effect (retry after Retry-After),
// 504 may or may not take effect: send it again.
//
// Usage:
//
//	http.ListenAndServe(addr, jobhttp.Routes(handler, wall))
//	cl := &jobhttp.Client{Addrs: addrs, Key: key}
//	rep, err := cl.Do(ctx, http.MethodPost, "/v1/jobs", submission)
package jobhttp

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/common/ops"
	"greengageweir/internal/common/strictjson"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	"github.com/labstack/echo/v4"

	weir "greengageweir"
)

// maxBody limits request and response bodies; a catalog with some thousand
// queues fits.
const maxBody = 8 << 20

// Queue is the JSON form of catalog.Queue. Its name takes the place of host and
// prefix.
type Queue struct {
	Name          string        `json:"name"`
	Pool          weir.PoolName `json:"pool"`
	TimeoutMillis int64         `json:"timeoutMillis"`
	TargetMillis  int64         `json:"targetMillis"`
	Stretch       float64       `json:"stretch"`
	Priority      int           `json:"priority"`
	MaxAttempts   int           `json:"maxAttempts"`
	// Adviser is set if the adviser decides which workers may run a step.
	Adviser *AdviserSettings `json:"advice,omitempty"`
	// Public queues take calls without a key.
	Public bool `json:"public,omitempty"`
}

// AdviserSettings describes the adviser: its response time is BaseMillis plus
// PerWorkerMillis for each worker in the call, and its tickets are valid for
// ValidityMillis.
type AdviserSettings struct {
	BaseMillis      int64 `json:"baseMillis"`
	PerWorkerMillis int64 `json:"perWorkerMillis"`
	ValidityMillis  int64 `json:"validityMillis"`
}

// Catalog is the JSON form of catalog.Catalog.
type Catalog struct {
	Version int64          `json:"version"`
	Queues  []Queue        `json:"queues"`
	Pools   []catalog.Pool `json:"pools"`
	// Teams share the pools. Without the field, calls need no key.
	Teams []Team `json:"teams,omitzero"`
}

// Team is the JSON form of catalog.Team, with its keys in the clear.
type Team struct {
	Name   weir.TeamName `json:"name"`
	Keys   []auth.Key    `json:"keys,omitempty"`
	Weight float64       `json:"weight,omitempty"`
	Cap    Resources     `json:"cap,omitzero"`
}

// Resources is the JSON form of spec.Resources.
type Resources struct {
	MilliCPU int `json:"milliCpu,omitempty"`
	MemoryMB int `json:"memoryMb,omitempty"`
	GPU      int `json:"gpu,omitempty"`
}

// TeamStatus is the JSON form of jobapi.TeamStatus.
type TeamStatus struct {
	Name        weir.TeamName `json:"name"`
	Weight      float64       `json:"weight"`
	Cap         Resources     `json:"cap"`
	Use         Resources     `json:"use"`
	PendingJobs int           `json:"pendingJobs"`
	RunningJobs int           `json:"runningJobs"`
	// Removed teams are not in the catalog; their accepted jobs continue.
	Removed bool `json:"removed,omitempty"`
}

// TeamList is the response body of GET /v1/teams.
type TeamList struct {
	Teams []TeamStatus `json:"teams"`
}

// queueHost is the host part of all queue keys, since this API has no hosts.
const queueHost = "queues"

func (ct Catalog) toCatalog(document []byte) *catalog.Catalog {
	out := &catalog.Catalog{Version: ct.Version, Pools: ct.Pools, Document: document}
	for _, qu := range ct.Queues {
		queue := catalog.Queue{
			Name: qu.Name, Host: queueHost, Prefix: "/" + qu.Name + "/", Pool: qu.Pool, Timeout: millis(qu.TimeoutMillis),
			TargetLatency: millis(qu.TargetMillis), Stretch: qu.Stretch, Priority: qu.Priority, MaxAttempts: qu.MaxAttempts,
			Public: qu.Public,
		}
		if ad := qu.Adviser; ad != nil {
			queue.Adviser = &catalog.AdviserSettings{
				Base: millis(ad.BaseMillis), PerWorker: millis(ad.PerWorkerMillis), Validity: millis(ad.ValidityMillis),
			}
		}
		out.Queues = append(out.Queues, queue)
	}
	if ct.Teams == nil {
		return out
	}
	out.RequiresKeys, out.KeySalt = true, catalog.NewKeySalt()
	for _, tm := range ct.Teams {
		out.Teams = append(out.Teams, catalog.Team{
			Name: tm.Name, KeyHashes: catalog.HashKeys(out.KeySalt, tm.Keys), Weight: tm.Weight, Cap: spec.Resources(tm.Cap),
		})
	}
	return out
}

// withoutKeys returns the catalog as its operator wrote it, without the teams' keys:
// callers reach the same listener.
func withoutKeys(document []byte) ([]byte, error) {
	var ct Catalog
	if err := json.Unmarshal(document, &ct); err != nil {
		return nil, strictjson.Redact(err)
	}
	if ct.Teams == nil {
		return document, nil
	}
	for ix := range ct.Teams {
		ct.Teams[ix].Keys = nil
	}
	return json.Marshal(ct)
}

// Step is the JSON form of spec.Step.
type Step struct {
	Count          int    `json:"count"`
	MilliCPU       int    `json:"milliCpu,omitempty"`
	MemoryMB       int    `json:"memoryMb,omitempty"`
	GPU            int    `json:"gpu,omitempty"`
	EstimateMillis int64  `json:"estimateMillis,omitempty"`
	After          []int  `json:"after,omitempty"`
	Checkpointing  bool   `json:"checkpointing,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	OneRack        bool   `json:"oneRack,omitempty"`
	Label          string `json:"label,omitempty"`
	DataRack       string `json:"dataRack,omitempty"`
	MaxPerWorker   int    `json:"maxPerWorker,omitempty"`
	LongRunning    bool   `json:"lasting,omitempty"`
	Image          string `json:"image,omitempty"`
	TargetMillis   int64  `json:"targetMillis,omitempty"`
	BestEffort     bool   `json:"filling,omitempty"`
	MaxUnavailable int    `json:"maxAway,omitempty"`
}

// Job is the JSON form of spec.Job.
type Job struct {
	Text            string    `json:"text,omitempty"`
	Steps           []Step    `json:"steps"`
	OccurrenceCount int       `json:"times,omitempty"`
	StartAt         time.Time `json:"startAt,omitzero"`
	EveryMillis     int64     `json:"everyMillis,omitempty"`
}

func (jb Job) toSpec() *spec.Job {
	out := &spec.Job{Text: jb.Text, OccurrenceCount: jb.OccurrenceCount, StartAt: jb.StartAt, Every: millis(jb.EveryMillis)}
	for _, st := range jb.Steps {
		out.Steps = append(out.Steps, spec.Step{
			Count: st.Count, Resources: spec.Resources{MilliCPU: st.MilliCPU, MemoryMB: st.MemoryMB, GPU: st.GPU},
			Estimate: millis(st.EstimateMillis), After: st.After, Checkpointing: st.Checkpointing, Gang: st.Gang,
			OneRack: st.OneRack, Label: st.Label, DataRack: st.DataRack, MaxPerWorker: st.MaxPerWorker, LongRunning: st.LongRunning,
			Image: st.Image, TargetLatency: millis(st.TargetMillis), BestEffort: st.BestEffort, MaxUnavailable: st.MaxUnavailable,
		})
	}
	return out
}

// Submission is the request body that submits a job.
type Submission struct {
	Queue string     `json:"queue"`
	ID    weir.JobID `json:"id"`
	Job   Job        `json:"job"`
}

// Wave is the request body that starts a maintenance wave.
type Wave struct {
	Number         int64    `json:"number"`
	Machines       []string `json:"machines"`
	DeadlineMillis int64    `json:"deadlineMillis"`
	MaxParallel    int      `json:"atOnce"`
}

// Response is the body of every response but those of GET /v1/catalog and /v1/teams.
type Response struct {
	Outcome jobapi.Outcome `json:"outcome"`
	Reason  string         `json:"reason,omitempty"`
	Phase   store.Phase    `json:"phase,omitempty"`
	Pending int            `json:"pending,omitempty"`
	Done    bool           `json:"done,omitempty"`
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

type server struct {
	handler jobapi.Handler
	wall    weir.Clock
}

// Routes returns the HTTP handler of the API.
func Routes(handler jobapi.Handler, wall weir.Clock) http.Handler {
	sv := &server{handler: handler, wall: wall}
	ech := ops.NewEcho()
	ech.PUT("/v1/catalog", sv.putCatalog)
	ech.GET("/v1/catalog", func(ctx echo.Context) error {
		rep := sv.handler.Handle(ctx.Request().Context(), jobapi.Call{Kind: jobapi.GetCatalog})
		if rep.Outcome != jobapi.OK {
			return writeReply(ctx, rep)
		}
		document, err := withoutKeys(rep.Document)
		if err != nil {
			return err
		}
		return ctx.JSONBlob(http.StatusOK, document)
	})
	ech.GET("/v1/teams", sv.listTeams)
	ech.POST("/v1/jobs", sv.submit)
	ech.GET("/v1/jobs", sv.jobRoute(jobapi.GetState))
	ech.DELETE("/v1/jobs", sv.jobRoute(jobapi.Cancel))
	ech.PUT("/v1/workers/:id", sv.announce)
	ech.DELETE("/v1/workers/:id", func(ctx echo.Context) error {
		ann := &jobapi.Announcement{Worker: store.Worker{ID: weir.InstanceID(ctx.Param("id"))}}
		return sv.call(ctx, jobapi.Call{Kind: jobapi.Depart, Worker: ann})
	})
	ech.POST("/v1/waves", sv.startWave)
	ech.GET("/v1/waves/:number", func(ctx echo.Context) error {
		number, err := strconv.ParseInt(ctx.Param("number"), 10, 64)
		if err != nil {
			return writeInvalid(ctx, err)
		}
		return sv.call(ctx, jobapi.Call{Kind: jobapi.GetWave, Number: number})
	})
	return ech
}

func (sv *server) call(ctx echo.Context, call jobapi.Call) error {
	return writeReply(ctx, sv.handler.Handle(ctx.Request().Context(), call))
}

func writeReply(ctx echo.Context, rep jobapi.Reply) error {
	rep.SetRetryAfter(ctx.Response().Header())
	return ctx.JSON(rep.Outcome.HTTPStatus(), Response{
		Outcome: rep.Outcome, Reason: rep.Reason, Phase: rep.Phase, Pending: rep.Pending, Done: rep.Done,
	})
}

func writeInvalid(ctx echo.Context, err error) error {
	return writeReply(ctx, jobapi.Reply{Outcome: jobapi.Invalid, Reason: err.Error()})
}

// decodeBody reads a JSON body into target, rejects unknown fields and returns
// the body's text.
func decodeBody(ctx echo.Context, target any) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(ctx.Response(), ctx.Request().Body, maxBody))
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(strings.NewReader(string(body)))
	dec.DisallowUnknownFields()
	return body, strictjson.Decode(dec, target)
}

func (sv *server) putCatalog(ctx echo.Context) error {
	var ct Catalog
	body, err := decodeBody(ctx, &ct)
	if err != nil {
		return writeInvalid(ctx, strictjson.Redact(err))
	}
	return sv.call(ctx, jobapi.Call{Kind: jobapi.PutCatalog, Catalog: ct.toCatalog(body)})
}

func (sv *server) submit(ctx echo.Context) error {
	var sub Submission
	if _, err := decodeBody(ctx, &sub); err != nil {
		return writeInvalid(ctx, err)
	}
	call := jobCall(ctx, jobapi.Submit, sub.Queue, sub.ID)
	call.Job = sub.Job.toSpec()
	return sv.call(ctx, call)
}

// bearerPrefix precedes the key in the Authorization header.
const bearerPrefix = "Bearer "

func jobCall(ctx echo.Context, kind jobapi.Kind, queue string, id weir.JobID) jobapi.Call {
	call := jobapi.Call{Kind: kind, Host: queueHost, Path: "/" + queue + "/" + string(id)}
	if key, ok := strings.CutPrefix(ctx.Request().Header.Get(echo.HeaderAuthorization), bearerPrefix); ok {
		call.Key = auth.Key(key)
	}
	return call
}

func (sv *server) listTeams(ctx echo.Context) error {
	rep := sv.handler.Handle(ctx.Request().Context(), jobapi.Call{Kind: jobapi.ListTeams})
	if rep.Outcome != jobapi.OK {
		return writeReply(ctx, rep)
	}
	list := TeamList{Teams: []TeamStatus{}}
	for _, tm := range rep.Teams {
		list.Teams = append(list.Teams, TeamStatus{
			Name: tm.Name, Weight: tm.Weight, Cap: Resources(tm.Cap), Use: Resources(tm.Use),
			PendingJobs: tm.PendingJobs, RunningJobs: tm.RunningJobs, Removed: tm.Removed,
		})
	}
	return ctx.JSON(http.StatusOK, list)
}

func (sv *server) jobRoute(kind jobapi.Kind) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		return sv.call(ctx, jobCall(ctx, kind, ctx.QueryParam("queue"), weir.JobID(ctx.QueryParam("id"))))
	}
}

func (sv *server) announce(ctx echo.Context) error {
	var ann jobapi.Announcement
	if _, err := decodeBody(ctx, &ann); err != nil {
		return writeInvalid(ctx, err)
	}
	if string(ann.ID) != ctx.Param("id") || ann.Address == "" || ann.Pool == "" || ann.Incarnation <= 0 {
		return writeReply(ctx, jobapi.Reply{Outcome: jobapi.Invalid, Reason: "id, address, pool or born missing"})
	}
	return sv.call(ctx, jobapi.Call{Kind: jobapi.Announce, Worker: &ann})
}

func (sv *server) startWave(ctx echo.Context) error {
	var wv Wave
	if _, err := decodeBody(ctx, &wv); err != nil {
		return writeInvalid(ctx, err)
	}
	return sv.call(ctx, jobapi.Call{Kind: jobapi.StartWave, Wave: &store.Wave{
		Number: wv.Number, Machines: wv.Machines, MaxParallel: wv.MaxParallel, Deadline: sv.wall.Now().Add(millis(wv.DeadlineMillis)),
	}})
}
