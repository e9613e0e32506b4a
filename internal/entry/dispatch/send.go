package dispatch

import (
	"context"
	"net/http"
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/entry/routing"
	"greengageweir/internal/link/httpconn"

	"github.com/google/uuid"

	weir "greengageweir"
)

// sendToEndpoint runs a request on a slot and releases the slot. The second
// result reports whether the request certainly did not run and another slot may
// be tried.
func (dp *Dispatcher) sendToEndpoint(ctx context.Context, slot *routing.Slot, req weir.Request) (weir.Response, bool) {
	ctx, cancel := context.WithTimeout(ctx, req.Deadline.Sub(dp.Clock.Now())+postDeadlineWait(req))
	defer cancel()
	begin := dp.Clock.Now()
	resp, err := slot.Conns.Do(ctx, dp.endpointRequest(slot, req))
	observe("weir_endpoint_seconds", dp.Clock.Now().Sub(begin))
	if err != nil {
		return responseForError(slot, err)
	}
	if reason := resp.Header(endpoint.HeaderRefused); reason != "" {
		slot.Release(routing.Abandoned)
		return weir.NotRunResponse("endpoint refused: " + reason), true
	}
	slot.Release(resultOf(resp.Status))
	return weir.Response{
		Kind: weir.Complete, Status: resp.Status, ContentType: resp.Header("Content-Type"), Body: resp.Body,
	}, false
}

func (dp *Dispatcher) endpointRequest(slot *routing.Slot, req weir.Request) httpconn.Request {
	out := httpconn.Request{
		Method: req.Method, Host: string(slot.Instance), Path: req.Path, Body: req.Body, Repeatable: req.Repeatable,
		Headers: []httpconn.Header{
			{Name: endpoint.HeaderLease, Value: slot.Lease.String()},
			{Name: endpoint.HeaderEntry, Value: dp.Self},
			{Name: endpoint.HeaderTask, Value: uuid.NewString()},
			{Name: endpoint.HeaderService, Value: string(req.Service)},
			{Name: endpoint.HeaderTeam, Value: string(req.Team)},
		},
	}
	if req.Key != "" {
		out.Headers = append(out.Headers, httpconn.Header{Name: endpoint.HeaderKey, Value: req.Key})
	}
	if req.ContentType != "" {
		out.Headers = append(out.Headers, httpconn.Header{Name: "Content-Type", Value: req.ContentType})
	}
	return out
}

// responseForError releases the slot and returns the response for a failed
// exchange. An exceeded deadline counts as a failure of the endpoint, since it
// is the only sign of one that does not respond.
func responseForError(slot *routing.Slot, err error) (weir.Response, bool) {
	slot.Release(routing.Failed)
	if errkind.Is(err, httpconn.KindNotSent) {
		return weir.NotRunResponse("endpoint not reached"), true
	}
	return weir.UnknownResponse(err.Error()), false
}

func resultOf(status int) routing.Result {
	if status >= http.StatusInternalServerError {
		return routing.Failed
	}
	return routing.Succeeded
}

// retryBudget limits retries to a share of the requests, so that retries cannot
// amplify an overload.
type retryBudget struct {
	tokens float64
}

const (
	retryShare = 0.1
	retryBurst = 20
)

func (rb *retryBudget) earn() { rb.tokens = min(rb.tokens+retryShare, retryBurst) }

func (rb *retryBudget) spend() bool {
	if rb.tokens < 1 {
		return false
	}
	rb.tokens--
	return true
}

const retryPause = 20 * time.Millisecond
