// Package operatorapi implements the operators' HTTP interface of a control
// process. Reads are linearizable. With ?stale=true they return the local state of
// this process, which also works without a leader.
//
// Usage:
//
//	api := &operatorapi.API{Service: service}
//	server := &ops.Server{..., Routes: api.Routes}
package operatorapi

import (
	"context"
	"net/http"
	"sort"
	"time"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/config/model"
	"greengageweir/internal/contract/operator"
	"greengageweir/internal/control/rpc"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/fsm"

	"github.com/labstack/echo/v4"

	weir "greengageweir"
)

const requestTimeout = 5 * time.Second

// API handles the requests of operators.
type API struct {
	Service *rpc.Service
}

// Routes registers the routes of the interface.
func (ap *API) Routes(grp *echo.Group) {
	grp.GET("/v1/config", ap.readHandler(ap.config))
	grp.POST("/v1/config", ap.applyConfig)
	grp.GET("/v1/config/history", ap.readHandler(ap.history))
	grp.GET("/v1/status", ap.readHandler(ap.status))
	grp.GET("/v1/instances", ap.readHandler(ap.instances))
	grp.GET("/v1/waves", ap.readHandler(ap.waves))
	grp.POST("/v1/waves", ap.createWave)
	grp.POST("/v1/waves/:name", ap.setWave)
	grp.POST("/v1/moves", ap.move)
	grp.POST("/v1/instances/:instance/abandon", ap.abandon)
	grp.POST("/v1/processes/:process/forget", ap.forgetProcess)
	grp.GET("/v1/usage", ap.readHandler(ap.usage))
}

// readHandler returns a handler that writes the value returned by get as JSON.
func (ap *API) readHandler(get func(ctx context.Context, ech echo.Context) (any, error)) echo.HandlerFunc {
	return func(ech echo.Context) error {
		ctx, cancel := context.WithTimeout(ech.Request().Context(), requestTimeout)
		defer cancel()
		if ech.QueryParam("stale") != "true" {
			if err := ap.Service.Barrier(ctx); err != nil {
				return unavailable(err)
			}
		}
		value, err := get(ctx, ech)
		if err != nil {
			return unavailable(err)
		}
		return ech.JSON(http.StatusOK, value)
	}
}

func unavailable(err error) error {
	return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
}

// httpStatus maps refusals to HTTP status codes.
var httpStatus = map[command.RefusalKind]int{
	command.RefusedConflict:   http.StatusConflict,
	command.RefusedInvalid:    http.StatusUnprocessableEntity,
	command.RefusedNotFound:   http.StatusNotFound,
	command.RefusedWrongState: http.StatusConflict,
	command.RefusedBudget:     http.StatusConflict,
	command.RefusedStale:      http.StatusConflict,
}

// propose commits an operator's command and writes its result. Status 503 means
// that the command may or may not be committed. Repeating it with the same request
// id is safe.
func (ap *API) propose(ech echo.Context, cmd command.Command) error {
	if cmd.RequestID == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "requestId is missing")
	}
	ctx, cancel := context.WithTimeout(ech.Request().Context(), requestTimeout)
	defer cancel()
	cmd.At = ap.Service.Clock.Now()
	cmd.Operator = auth.Operator(ech)
	ans, err := ap.Service.Propose(ctx, cmd)
	if err != nil {
		return unavailable(err)
	}
	if ans.Refusal != nil {
		return ech.JSON(httpStatus[ans.Refusal.Kind], ans)
	}
	return ech.JSON(http.StatusOK, ans)
}

func bind(ech echo.Context, into any) error {
	if err := ech.Bind(into); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "body not understood: "+err.Error())
	}
	return nil
}

// applyConfig proposes the difference between the requested configuration and the
// one in force. The state machine checks that the expected number is in force.
func (ap *API) applyConfig(ech echo.Context) error {
	var req operator.ApplyConfigRequest
	if err := bind(ech, &req); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ech.Request().Context(), requestTimeout)
	defer cancel()
	if err := ap.Service.Barrier(ctx); err != nil {
		return unavailable(err)
	}
	var delta model.Delta
	ap.Service.Machine.Read(func(rd fsm.Reader) { delta = model.Diff(rd.Config(), req.Config) })
	return ap.propose(ech, command.Command{RequestID: req.RequestID, Config: &command.ConfigApply{
		Expected: req.Expected, Delta: delta, Checksum: req.Config.Checksum(), Note: req.Note,
	}})
}

func (ap *API) config(context.Context, echo.Context) (any, error) {
	var ans operator.ConfigResponse
	ap.Service.Machine.Read(func(rd fsm.Reader) {
		ans = operator.ConfigResponse{Number: rd.ConfigNumber(), Config: rd.Config()}
	})
	ans.Checksum = ans.Config.Checksum()
	return ans, nil
}

func (ap *API) history(context.Context, echo.Context) (any, error) {
	var list []fsm.ConfigChange
	ap.Service.Machine.Read(func(rd fsm.Reader) { list = rd.History() })
	return list, nil
}

func (ap *API) status(ctx context.Context, ech echo.Context) (any, error) {
	st := ap.Service.Node.Status()
	ans := operator.StatusResponse{Leader: st.Leader}
	ap.Service.Machine.Read(func(rd fsm.Reader) {
		ans.Index, ans.ConfigNumber, ans.Pools, ans.Moves = rd.Index(), rd.ConfigNumber(), rd.Pools(), rd.CompletedMoves()
	})
	for _, dm := range ap.Service.Registry.DemandByService(ap.Service.Clock.Now()) {
		ans.Demand = append(ans.Demand, dm)
	}
	sort.Slice(ans.Demand, func(a, b int) bool { return ans.Demand[a].Service < ans.Demand[b].Service })
	processes, err := ap.Service.Processes(ctx)
	if err != nil && ech.QueryParam("stale") != "true" {
		return nil, err
	}
	ans.Processes = processes
	return ans, nil
}

func (ap *API) instances(context.Context, echo.Context) (any, error) {
	var list []operator.InstanceStatus
	ap.Service.Machine.Read(func(rd fsm.Reader) {
		for id, mem := range rd.Members() {
			sta := rd.Statuses()[id]
			list = append(list, operator.InstanceStatus{Member: mem, Up: sta.Up, Entry: sta.Entry})
		}
	})
	sort.Slice(list, func(a, b int) bool { return list[a].Instance < list[b].Instance })
	return list, nil
}

func (ap *API) waves(context.Context, echo.Context) (any, error) {
	list := []operator.WaveStatus{}
	now := ap.Service.Clock.Now()
	ap.Service.Machine.Read(func(rd fsm.Reader) {
		for _, wv := range rd.Waves() {
			list = append(list, waveStatus(wv, now))
		}
	})
	return list, nil
}

func waveStatus(wv *fsm.Wave, now time.Time) operator.WaveStatus {
	ws := operator.WaveStatus{
		Name: wv.Name, State: wv.State, Pending: len(wv.Pending), Done: len(wv.Done), CreatedAt: wv.CreatedAt,
		Active: sortedIDs(wv.Active), Stuck: sortedIDs(wv.Stuck),
	}
	if !wv.EndedAt.IsZero() {
		ended := wv.EndedAt
		ws.EndedAt = &ended
		return ws
	}
	if len(wv.Done) > 0 {
		left := len(wv.Pending) + len(wv.Active)
		end := now.Add(now.Sub(wv.CreatedAt) * time.Duration(left) / time.Duration(len(wv.Done)))
		ws.ExpectedEnd = &end
	}
	return ws
}

func sortedIDs(set map[weir.InstanceID]bool) []weir.InstanceID {
	list := make([]weir.InstanceID, 0, len(set))
	for id := range set {
		list = append(list, id)
	}
	sort.Slice(list, func(a, b int) bool { return list[a] < list[b] })
	return list
}

func (ap *API) createWave(ech echo.Context) error {
	var req operator.CreateWaveRequest
	if err := bind(ech, &req); err != nil {
		return err
	}
	return ap.propose(ech, command.Command{RequestID: req.RequestID, Wave: &req.Wave})
}

func (ap *API) setWave(ech echo.Context) error {
	var req operator.WaveActionRequest
	if err := bind(ech, &req); err != nil {
		return err
	}
	return ap.propose(ech, command.Command{
		RequestID: req.RequestID, WaveSet: &command.WaveSet{Name: ech.Param("name"), Action: req.Action},
	})
}

func (ap *API) move(ech echo.Context) error {
	var req operator.MoveRequest
	if err := bind(ech, &req); err != nil {
		return err
	}
	// Lent keeps the leader from moving the instance back to its configured pool.
	return ap.propose(ech, command.Command{
		RequestID: req.RequestID, Move: &command.Move{Instance: req.Instance, TargetPool: req.TargetPool, Lent: true},
	})
}

func (ap *API) abandon(ech echo.Context) error {
	var req operator.AbandonRequest
	if err := bind(ech, &req); err != nil {
		return err
	}
	return ap.propose(ech, command.Command{
		RequestID: req.RequestID,
		Abandon:   &command.Abandon{Instance: weir.InstanceID(ech.Param("instance")), Reason: req.Reason},
	})
}

func (ap *API) forgetProcess(ech echo.Context) error {
	var req operator.ForgetProcessRequest
	if err := bind(ech, &req); err != nil {
		return err
	}
	return ap.propose(ech, command.Command{
		RequestID: req.RequestID, Process: &command.ProcessUpdate{ID: ech.Param("process"), Forget: true},
	})
}

func (ap *API) usage(context.Context, echo.Context) (any, error) {
	var ans operator.UsageResponse
	ap.Service.Machine.Read(func(rd fsm.Reader) {
		ans = operator.UsageResponse{Index: rd.Index(), Lines: rd.Usage()}
	})
	return ans, nil
}
