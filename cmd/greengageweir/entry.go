package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"greengageweir/internal/common/admit"
	"greengageweir/internal/common/cli"
	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/ops"
	"greengageweir/internal/common/run"
	"greengageweir/internal/common/settings"
	"greengageweir/internal/entry/callerapi"
	"greengageweir/internal/entry/dispatch"
	"greengageweir/internal/entry/ledger"
	"greengageweir/internal/entry/mesh"
	"greengageweir/internal/entry/report"
	"greengageweir/internal/entry/routing"
	"greengageweir/internal/entry/serve"
	"greengageweir/internal/entry/viewsync"
	"greengageweir/internal/link/peer"

	"github.com/pkg/errors"

	weir "greengageweir"
)

// entryCommand runs an entry instance.
type entryCommand struct {
	commonFlags
	CallerAddr      string        `long:"caller-addr" env:"WEIR_CALLER_ADDR" description:"IP:port for callers"`
	EndpointAddr    string        `long:"endpoint-addr" env:"WEIR_ENDPOINT_ADDR" description:"IP:port for endpoints' announcements"`
	Controls        []string      `long:"control" env:"WEIR_CONTROLS" env-delim:"," description:"Peer address of a control process; repeat for each"`
	Entries         []string      `long:"entry" env:"WEIR_ENTRIES" env-delim:"," description:"Entry instance as id=zone=IP:port, including this one; repeat for each"`
	LedgerRetention time.Duration `long:"ledger-retention" env:"WEIR_LEDGER_RETENTION" default:"10m" description:"How long the outcome of a key is remembered"`
	LedgerKeys      int           `long:"ledger-keys" env:"WEIR_LEDGER_KEYS" default:"200000" description:"Maximum number of keys that are remembered"`
	DrainNotice     time.Duration `long:"drain-notice" env:"WEIR_DRAIN_NOTICE" default:"1s" description:"Time for the load balancer to notice a shutdown"`
	DrainPatience   time.Duration `long:"drain-patience" env:"WEIR_DRAIN_PATIENCE" default:"30s" description:"Time for requests in flight to finish at shutdown"`

	peers []mesh.Peer
}

func (ec *entryCommand) check() error {
	var ck settings.Checks
	ec.commonFlags.check(&ck)
	ck.Address("--caller-addr", ec.CallerAddr)
	ck.Address("--endpoint-addr", ec.EndpointAddr)
	ck.Range("--ledger-retention", ec.LedgerRetention, 10*time.Second, 24*time.Hour)
	ck.Count("--ledger-keys", ec.LedgerKeys, 100, 10_000_000)
	ck.Range("--drain-notice", ec.DrainNotice, minDrainNotice, maxDrainNotice)
	ck.Range("--drain-patience", ec.DrainPatience, time.Second, time.Hour)
	ec.Controls = splitList(ec.Controls)
	ck.Require("--control", len(ec.Controls) > 0)
	for _, addr := range ec.Controls {
		ck.Address("--control", addr)
	}
	self := false
	for _, item := range splitList(ec.Entries) {
		id, rest := ck.Pair("--entry", item)
		zone, addr := ck.Pair("--entry", rest)
		ck.Address("--entry", addr)
		ec.peers = append(ec.peers, mesh.Peer{ID: id, Zone: weir.Zone(zone), Addr: addr})
		self = self || (id == ec.ID && zone == ec.Zone)
	}
	ck.Require(fmt.Sprintf("--entry %s=%s=...", ec.ID, ec.Zone), self)
	return ck.Err()
}

// Execute implements flags.Commander.
func (ec *entryCommand) Execute([]string) error {
	if err := ec.check(); err != nil {
		return err
	}
	deps, err := ec.setup("entry")
	if err != nil {
		return err
	}
	pr := ec.build(deps)
	ctx := signalContext(deps.logger, func() string { return fmt.Sprintf("%d requests", pr.callerServer.InFlight()) })
	_ = deps.logger.Log("level", "info", "msg", "started", "version", cli.Version, "zone", ec.Zone)
	return pr.run(ctx, deps)
}

// entryProcess holds the components of an entry instance.
type entryProcess struct {
	clk          clock.System
	table        *routing.Table
	store        *ledger.Store
	mesh         *mesh.Mesh
	subscriber   *viewsync.Subscriber
	callerServer *callerapi.Server
	components   []weir.Component
}

func (ec *entryCommand) build(deps dependencies) *entryProcess {
	clk := clock.System{}
	zone := weir.Zone(ec.Zone)
	self := peer.Identity{ID: ec.ID, Role: "entry", Zone: ec.Zone}
	pr := &entryProcess{clk: clk, table: routing.New(clk, zone)}
	pr.store = ledger.NewStore(clk.Now(), ec.LedgerRetention, ec.LedgerKeys)
	pr.mesh = &mesh.Mesh{Self: self, Peers: ec.peers, Token: deps.token, Clock: clk, Logger: deps.logger, Free: pr.table.FreeSlots}
	pr.subscriber = &viewsync.Subscriber{
		Controls: ec.Controls, Token: deps.token, Self: self, Logger: deps.logger, OnView: pr.table.SetView,
	}
	dp := &dispatch.Dispatcher{
		Self: ec.ID, Zone: zone, Entries: ec.entryInstances(), Table: pr.table, Mesh: pr.mesh, Store: pr.store, Clock: clk,
	}
	pr.callerServer = &callerapi.Server{
		Addr: ec.CallerAddr, Zone: zone, Dispatcher: dp, Services: pr.table, Clock: clk,
		Ready: pr.ready, ShutdownDelay: ec.DrainNotice, ShutdownTimeout: ec.DrainPatience,
		Limits: &admit.Listener{Process: deps.limits, Name: "callers", Connections: deps.limits.MaxConnections()},
	}
	sv := &serve.PeerHandler{Dispatcher: dp, Table: pr.table, Store: pr.store, Mesh: pr.mesh, Clock: clk}
	pr.components = []weir.Component{
		&ops.Server{
			Addr: ec.OpsAddr, Operators: deps.operators, Level: deps.level, Version: cli.Version,
			Dump: pr.dump, Ready: pr.ready, Limits: operatorLimits(deps.limits),
		},
		pr.subscriber,
		pr.mesh,
		&peer.Server{Addr: ec.PeerAddr, Token: deps.token, Handle: sv.Handle, Logger: deps.logger, MaxLinks: deps.limits.MaxLinks()},
		&ledger.Recovery{
			Self: ec.ID, Replicas: ec.replicaPeers(), Store: pr.store, Caller: pr.mesh, Logger: deps.logger,
		},
		&report.Reporter{
			Self: ec.ID, Zone: zone, Started: clk.Now().UTC().Round(time.Millisecond), Table: pr.table,
			Control: pr.subscriber, Clock: clk, Logger: deps.logger,
		},
		&serve.AnnouncementServer{Addr: ec.EndpointAddr, Table: pr.table, Limits: &admit.Listener{
			Process: deps.limits, Name: "endpoints", Connections: deps.limits.MaxConnections(), JSON: true,
		}},
		&run.Func{Name: "drainer", Do: pr.drain},
		pr.callerServer,
	}
	return pr
}

func (ec *entryCommand) entryInstances() []ledger.EntryInstance {
	entries := make([]ledger.EntryInstance, 0, len(ec.peers))
	for _, pe := range ec.peers {
		entries = append(entries, ledger.EntryInstance{ID: pe.ID, Zone: pe.Zone})
	}
	return entries
}

// replicaPeers returns the members of all ledger replica groups that this
// instance belongs to.
func (ec *entryCommand) replicaPeers() []string {
	members := map[string]bool{}
	for _, si := range ec.entryInstances() {
		ids := ledger.Replicas(ec.entryInstances(), si.Zone)
		if !slices.Contains(ids, ec.ID) {
			continue
		}
		for _, id := range ids {
			members[id] = true
		}
	}
	list := make([]string, 0, len(members))
	for id := range members {
		list = append(list, id)
	}
	return list
}

// run runs the components until the context ends. They stop in reverse order, so
// that callers' requests finish before the links that carry them are closed.
func (pr *entryProcess) run(ctx context.Context, deps dependencies) error {
	return run.All(ctx, deps.logger, pr.components...)
}

func (pr *entryProcess) ready() error {
	switch {
	case pr.callerServer.Stopping():
		return errors.New("stopping")
	case pr.subscriber.View().Index == 0:
		return errors.New("no configuration yet")
	case !pr.store.AcceptsNewKeys(pr.clk.Now()):
		return errors.New("ledger has not caught up")
	}
	return nil
}

// entryState is an entry instance's part of the state dump.
type entryState struct {
	ViewIndex    uint64                  `json:"view"`
	ConfigNumber uint64                  `json:"number"`
	InFlight     int64                   `json:"inFlight"`
	Ledger       ledger.Stats            `json:"ledger"`
	Endpoints    []routing.EndpointState `json:"endpoints"`
	Demand       any                     `json:"demand"`
}

func (pr *entryProcess) dump() any {
	vw := pr.subscriber.View()
	return entryState{
		ViewIndex: vw.Index, ConfigNumber: vw.ConfigNumber, InFlight: pr.callerServer.InFlight(), Ledger: pr.store.Stats(),
		Endpoints: pr.table.Endpoints(), Demand: pr.table.Demand(),
	}
}

const (
	drainPollInterval = 50 * time.Millisecond
	maxDrainWait      = 30 * time.Second
	minDrainWait      = 1500 * time.Millisecond
)

// drain waits for the context to end and then makes endpoints lease from other
// entry instances. It returns when the requests that other entry instances placed
// here have finished, at the earliest after minDrainWait and at the latest after
// maxDrainWait. The links are closed after that.
func (pr *entryProcess) drain(ctx context.Context) error {
	<-ctx.Done()
	pr.table.Stop()
	for waited := time.Duration(0); waited < maxDrainWait; waited += drainPollInterval {
		if waited >= minDrainWait && pr.table.Busy() == 0 {
			return nil
		}
		time.Sleep(drainPollInterval)
	}
	return nil
}
