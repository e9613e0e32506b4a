// Package jobhttp is the product's own interface for jobs, queues, workers and
// waves: JSON over HTTP, durations in milliseconds.
//
//	PUT    /v1/catalog                      queues and pools, with a rising version
//	GET    /v1/catalog
//	POST   /v1/jobs    {"queue":"Q","id":"ID","job":{...}}   accepted once; again is no error
//	GET    /v1/jobs?queue=Q&id=ID           {"phase":"running"}
//	GET    /v1/jobs?queue=Q                 {"pending":12}
//	DELETE /v1/jobs?queue=Q&id=ID           cancels
//	PUT    /v1/workers/ID, DELETE /v1/workers/ID
//	POST   /v1/waves, GET /v1/waves/NUMBER
//
// Errors: 400 can never succeed, 404 no such queue, 410 no such job, 429 and
// 503 certainly without effect (see Retry-After), 504 perhaps: send it again.
//
// Usage:
//
//	http.ListenAndServe(addr, jobhttp.Routes(handler, wall))
//	cl := &jobhttp.Client{Addrs: addrs}
//	rep, err := cl.Do(ctx, http.MethodPost, "/v1/jobs", submission)
package jobhttp

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/duty/ops"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	"github.com/labstack/echo/v4"

	weir "greengageweir"
)

// maxBody bounds a request; a catalog of some thousand queues fits.
const maxBody = 8 << 20

// Queue is a queue as operators write it.
type Queue struct {
	Name          string        `json:"name"`
	Pool          weir.PoolName `json:"pool"`
	TimeoutMillis int64         `json:"timeoutMillis"`
	TargetMillis  int64         `json:"targetMillis"`
	Stretch       float64       `json:"stretch"`
	Priority      int           `json:"priority"`
	MaxAttempts   int           `json:"maxAttempts"`
	// Advice is set where the adviser names the workers of a step.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice tells how the adviser answers: after a base time and some for each
// worker that it is asked about, with tickets that hold for a while.
type Advice struct {
	BaseMillis      int64 `json:"baseMillis"`
	PerWorkerMillis int64 `json:"perWorkerMillis"`
	ValidityMillis  int64 `json:"validityMillis"`
}

// Catalog is a configuration as operators write it.
type Catalog struct {
	Version int64          `json:"version"`
	Queues  []Queue        `json:"queues"`
	Pools   []catalog.Pool `json:"pools"`
}

// host stands for the host part of queue keys, which this interface lacks.
const host = "queues"

func (ct Catalog) decode(document []byte) *catalog.Catalog {
	out := &catalog.Catalog{Version: ct.Version, Pools: ct.Pools, Document: document}
	for _, qu := range ct.Queues {
		queue := catalog.Queue{
			Name: qu.Name, Host: host, Prefix: "/" + qu.Name + "/", Pool: qu.Pool, Timeout: millis(qu.TimeoutMillis),
			TargetLatency: millis(qu.TargetMillis), Stretch: qu.Stretch, Priority: qu.Priority, MaxAttempts: qu.MaxAttempts,
		}
		if ad := qu.Advice; ad != nil {
			queue.Advice = &catalog.Advice{
				Base: millis(ad.BaseMillis), PerWorker: millis(ad.PerWorkerMillis), Validity: millis(ad.ValidityMillis),
			}
		}
		out.Queues = append(out.Queues, queue)
	}
	return out
}

// Step is a step as callers write it; see spec.Step for the fields.
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

// Job is a job as callers write it.
type Job struct {
	Text            string    `json:"text,omitempty"`
	Steps           []Step    `json:"steps"`
	OccurrenceCount int       `json:"times,omitempty"`
	StartAt         time.Time `json:"startAt,omitzero"`
	EveryMillis     int64     `json:"everyMillis,omitempty"`
}

func (jb Job) decode() *spec.Job {
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

// Submission hands a job in.
type Submission struct {
	Queue string     `json:"queue"`
	ID    weir.JobID `json:"id"`
	Job   Job        `json:"job"`
}

// Wave asks for maintenance.
type Wave struct {
	Number         int64    `json:"number"`
	Machines       []string `json:"machines"`
	DeadlineMillis int64    `json:"deadlineMillis"`
	MaxParallel    int      `json:"atOnce"`
}

// Answer is the body of every answer.
type Answer struct {
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

// Routes serves the interface.
func Routes(handler jobapi.Handler, wall weir.Clock) http.Handler {
	sv := &server{handler: handler, wall: wall}
	ech := ops.NewEcho()
	ech.PUT("/v1/catalog", sv.putCatalog)
	ech.GET("/v1/catalog", func(ctx echo.Context) error {
		rep := sv.handler.Handle(ctx.Request().Context(), jobapi.Call{Kind: jobapi.GetCatalog})
		if rep.Outcome != jobapi.OK {
			return write(ctx, rep)
		}
		return ctx.JSONBlob(http.StatusOK, rep.Document)
	})
	ech.POST("/v1/jobs", sv.submit)
	ech.GET("/v1/jobs", sv.about(jobapi.GetState))
	ech.DELETE("/v1/jobs", sv.about(jobapi.Cancel))
	ech.PUT("/v1/workers/:id", sv.announce)
	ech.DELETE("/v1/workers/:id", func(ctx echo.Context) error {
		ann := &jobapi.Announcement{Worker: store.Worker{ID: weir.InstanceID(ctx.Param("id"))}}
		return sv.call(ctx, jobapi.Call{Kind: jobapi.Depart, Worker: ann})
	})
	ech.POST("/v1/waves", sv.startWave)
	ech.GET("/v1/waves/:number", func(ctx echo.Context) error {
		number, err := strconv.ParseInt(ctx.Param("number"), 10, 64)
		if err != nil {
			return unreadable(ctx, err)
		}
		return sv.call(ctx, jobapi.Call{Kind: jobapi.GetWave, Number: number})
	})
	return ech
}

func (sv *server) call(ctx echo.Context, call jobapi.Call) error {
	return write(ctx, sv.handler.Handle(ctx.Request().Context(), call))
}

func write(ctx echo.Context, rep jobapi.Reply) error {
	rep.SetRetryAfter(ctx.Response().Header())
	return ctx.JSON(rep.Outcome.HTTPStatus(), Answer{
		Outcome: rep.Outcome, Reason: rep.Reason, Phase: rep.Phase, Pending: rep.Pending, Done: rep.Done,
	})
}

func unreadable(ctx echo.Context, err error) error {
	return write(ctx, jobapi.Reply{Outcome: jobapi.Invalid, Reason: err.Error()})
}

// read decodes a body and refuses fields that are not known.
func read(ctx echo.Context, into any) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(ctx.Response(), ctx.Request().Body, maxBody))
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(strings.NewReader(string(body)))
	dec.DisallowUnknownFields()
	return body, dec.Decode(into)
}

func (sv *server) putCatalog(ctx echo.Context) error {
	var ct Catalog
	body, err := read(ctx, &ct)
	if err != nil {
		return unreadable(ctx, err)
	}
	return sv.call(ctx, jobapi.Call{Kind: jobapi.PutCatalog, Catalog: ct.decode(body)})
}

func (sv *server) submit(ctx echo.Context) error {
	var sub Submission
	if _, err := read(ctx, &sub); err != nil {
		return unreadable(ctx, err)
	}
	call := place(jobapi.Submit, sub.Queue, sub.ID)
	call.Job = sub.Job.decode()
	return sv.call(ctx, call)
}

func place(kind jobapi.Kind, queue string, id weir.JobID) jobapi.Call {
	return jobapi.Call{Kind: kind, Host: host, Path: "/" + queue + "/" + string(id)}
}

func (sv *server) about(kind jobapi.Kind) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		return sv.call(ctx, place(kind, ctx.QueryParam("queue"), weir.JobID(ctx.QueryParam("id"))))
	}
}

func (sv *server) announce(ctx echo.Context) error {
	var ann jobapi.Announcement
	if _, err := read(ctx, &ann); err != nil {
		return unreadable(ctx, err)
	}
	if string(ann.ID) != ctx.Param("id") || ann.Address == "" || ann.Pool == "" || ann.Incarnation <= 0 {
		return write(ctx, jobapi.Reply{Outcome: jobapi.Invalid, Reason: "id, address, pool or born missing"})
	}
	return sv.call(ctx, jobapi.Call{Kind: jobapi.Announce, Worker: &ann})
}

func (sv *server) startWave(ctx echo.Context) error {
	var wv Wave
	if _, err := read(ctx, &wv); err != nil {
		return unreadable(ctx, err)
	}
	return sv.call(ctx, jobapi.Call{Kind: jobapi.StartWave, Wave: &store.Wave{
		Number: wv.Number, Machines: wv.Machines, MaxParallel: wv.MaxParallel, Deadline: sv.wall.Now().Add(millis(wv.DeadlineMillis)),
	}})
}
