package main

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"greengageweir/internal/contract/operator"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/fsm"

	"github.com/pkg/errors"

	weir "greengageweir"
)

type waveStart struct {
	controlFlags
	requestIDFlags
	Name     string        `long:"name" required:"true" description:"Name of the wave"`
	Pools    []string      `long:"pool" description:"Pool to maintain; repeat for several; all if not given"`
	Zones    []string      `long:"zone" description:"Zone to maintain; repeat for several; all if not given"`
	Parallel int           `long:"parallel" default:"1" description:"Maximum number of instances under maintenance at a time"`
	Wait     time.Duration `long:"wait" description:"Wait up to this long until the wave has ended"`
}

// Execute implements flags.Commander.
func (ws *waveStart) Execute([]string) error {
	req := operator.CreateWaveRequest{RequestID: ws.ensureRequestID(), Wave: command.WaveCreate{Name: ws.Name, MaxParallel: ws.Parallel}}
	for _, pool := range ws.Pools {
		req.Wave.Pools = append(req.Wave.Pools, weir.PoolName(pool))
	}
	for _, zone := range ws.Zones {
		req.Wave.Zones = append(req.Wave.Zones, weir.Zone(zone))
	}
	if err := ws.sendCommand("/v1/waves", req); err != nil {
		return err
	}
	if ws.Wait == 0 {
		return nil
	}
	return ws.waitUntilEnded()
}

func (ws *waveStart) waitUntilEnded() error {
	cl, ctx, cancel, err := ws.newClient()
	if err != nil {
		return err
	}
	defer cancel()
	begin := time.Now()
	for time.Since(begin) < ws.Wait {
		var list []operator.WaveStatus
		if cl.Get(ctx, "/v1/waves", &list) == nil {
			for _, wv := range list {
				if wv.Name == ws.Name && wv.EndedAt != nil {
					fmt.Printf("wave %s is %s: %d done, %d stuck, after %s\n", wv.Name, wv.State, wv.Done, len(wv.Stuck), time.Since(begin).Round(100*time.Millisecond))
					return nil
				}
			}
		}
		time.Sleep(retryInterval)
	}
	return errors.Errorf("wave %s has not ended after %s", ws.Name, ws.Wait)
}

type waveList struct{ controlFlags }

// Execute implements flags.Commander.
func (wl *waveList) Execute([]string) error {
	return getAndPrint(&wl.controlFlags, "/v1/waves", func(list []operator.WaveStatus) {
		rows := make([][]string, 0, len(list))
		for _, wv := range list {
			end := "-"
			if wv.ExpectedEnd != nil {
				end = wv.ExpectedEnd.Format(time.RFC3339)
			}
			rows = append(rows, []string{
				wv.Name, string(wv.State), strconv.Itoa(wv.Pending), strconv.Itoa(len(wv.Active)), strconv.Itoa(wv.Done),
				strconv.Itoa(len(wv.Stuck)), end,
			})
		}
		printTable("WAVE STATE TODO ACTIVE DONE STUCK EXPECTED-END", rows)
	})
}

// waveAction pauses, resumes or aborts a wave.
type waveAction struct {
	controlFlags
	requestIDFlags
	action string
	Args   struct {
		Name string `positional-arg-name:"wave"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (ws *waveAction) Execute([]string) error {
	return ws.sendCommand("/v1/waves/"+url.PathEscape(ws.Args.Name), operator.WaveActionRequest{
		RequestID: ws.ensureRequestID(), Action: command.WaveAction(ws.action),
	})
}

type poolList struct{ controlFlags }

// Execute implements flags.Commander.
func (pl *poolList) Execute([]string) error {
	return getAndPrint(&pl.controlFlags, "/v1/status", func(ans operator.StatusResponse) {
		rows := make([][]string, 0, len(ans.Pools))
		for _, pol := range ans.Pools {
			rows = append(rows, []string{
				string(pol.Name), strconv.Itoa(pol.Size), strconv.Itoa(pol.Available), strconv.Itoa(pol.MinAvailable), strconv.FormatBool(pol.Spare),
			})
		}
		printTable("POOL SIZE AVAILABLE BUDGET SPARE", rows)
	})
}

type instanceList struct {
	controlFlags
	Pool string `long:"pool" description:"Show only this pool"`
}

// Execute implements flags.Commander.
func (il *instanceList) Execute([]string) error {
	return getAndPrint(&il.controlFlags, "/v1/instances", func(list []operator.InstanceStatus) {
		var rows [][]string
		for _, inst := range list {
			if il.Pool != "" && string(inst.Pool) != il.Pool {
				continue
			}
			rows = append(rows, []string{
				string(inst.Instance), string(inst.Zone), string(inst.Pool), string(inst.Phase), strconv.FormatBool(inst.Up), inst.Entry,
			})
		}
		printTable("INSTANCE ZONE POOL PHASE UP ENTRY", rows)
	})
}

type instanceMove struct {
	controlFlags
	requestIDFlags
	Args struct {
		Instance string `positional-arg-name:"instance"`
		Pool     string `positional-arg-name:"pool"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (im *instanceMove) Execute([]string) error {
	return im.sendCommand("/v1/moves", operator.MoveRequest{
		RequestID: im.ensureRequestID(), Instance: weir.InstanceID(im.Args.Instance), TargetPool: weir.PoolName(im.Args.Pool),
	})
}

type instanceAbandon struct {
	controlFlags
	requestIDFlags
	Reason string `long:"reason" description:"Reason, kept in the log"`
	Args   struct {
		Instance string `positional-arg-name:"instance"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (ia *instanceAbandon) Execute([]string) error {
	return ia.sendCommand("/v1/instances/"+url.PathEscape(ia.Args.Instance)+"/abandon", operator.AbandonRequest{
		RequestID: ia.ensureRequestID(), Reason: ia.Reason,
	})
}

type processForget struct {
	controlFlags
	requestIDFlags
	Args struct {
		Process string `positional-arg-name:"process"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (pf *processForget) Execute([]string) error {
	return pf.sendCommand("/v1/processes/"+url.PathEscape(pf.Args.Process)+"/forget", operator.ForgetProcessRequest{RequestID: pf.ensureRequestID()})
}

type usageCommand struct{ controlFlags }

// Execute implements flags.Commander.
func (uc *usageCommand) Execute([]string) error {
	return getAndPrint(&uc.controlFlags, "/v1/usage", func(ans operator.UsageResponse) {
		rows := make([][]string, 0, len(ans.Lines))
		for _, line := range ans.Lines {
			rows = append(rows, usageRow(line))
		}
		printTable("SERVICE TEAM DONE FAILED BUSY-MS", rows)
		fmt.Println("settled up to log index", ans.Index, "- reports that are still on their way are not included")
	})
}

func usageRow(line fsm.UsageLine) []string {
	return []string{
		string(line.Service), string(line.Team), strconv.FormatUint(line.Done, 10),
		strconv.FormatUint(line.Failed, 10), strconv.FormatUint(line.BusyMillis, 10),
	}
}

type stateDump struct {
	controlFlags
}

// Execute implements flags.Commander.
func (sd *stateDump) Execute([]string) error {
	sd.Output = "json"
	return getAndPrint(&sd.controlFlags, "/state", func(any) {})
}

type stateLevel struct {
	controlFlags
	Args struct {
		Level string `positional-arg-name:"level"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (sl *stateLevel) Execute([]string) error {
	cl, ctx, cancel, err := sl.newClient()
	if err != nil {
		return err
	}
	defer cancel()
	var ans map[string]string
	if err := cl.Put(ctx, "/log-level/"+url.PathEscape(strings.ToLower(sl.Args.Level)), &ans); err != nil {
		return err
	}
	fmt.Println("log level is", ans["level"])
	return nil
}
