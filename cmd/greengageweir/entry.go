package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"greengageweir/internal/duty/cli"
	"greengageweir/internal/duty/clock"
	"greengageweir/internal/duty/ops"
	"greengageweir/internal/duty/run"
	"greengageweir/internal/duty/settings"
	"greengageweir/internal/entry/callerapi"
	"greengageweir/internal/entry/dispatch"
	"greengageweir/internal/entry/ledger"
	"greengageweir/internal/entry/mesh"
	"greengageweir/internal/entry/placement"
	"greengageweir/internal/entry/report"
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
	Entries         []string      `long:"entry" env:"WEIR_ENTRIES" env-delim:"," description:"Entry instance as id=zone=IP:port, this one too; repeat for each"`
	LedgerRetention time.Duration `long:"ledger-retention" env:"WEIR_LEDGER_RETENTION" default:"10m" description:"How long the outcome of a key is remembered"`
	LedgerKeys      int           `long:"ledger-keys" env:"WEIR_LEDGER_KEYS" default:"200000" description:"How many keys are remembered at most"`
	DrainNotice     time.Duration `long:"drain-notice" env:"WEIR_DRAIN_NOTICE" default:"1s" description:"Time for the balancer to notice a stop"`
	DrainPatience   time.Duration `long:"drain-patience" env:"WEIR_DRAIN_PATIENCE" default:"30s" description:"Time for requests in flight to finish at a stop"`

	peers []mesh.Peer
}

func (ec *entryCommand) check() error {
	var ck settings.Checks
	ec.commonFlags.check(&ck)
	ck.Address("--caller-addr", ec.CallerAddr)
	ck.Address("--endpoint-addr", ec.EndpointAddr)
	ck.Range("--ledger-retention", ec.LedgerRetention, 10*time.Second, 24*time.Hour)
	ck.Count("--ledger-keys", ec.LedgerKeys, 100, 10_000_000)
	ck.Range("--drain-notice", ec.DrainNotice, minNotice, maxNotice)
	ck.Range("--drain-patience", ec.DrainPatience, time.Second, time.Hour)
	ec.Controls = split(ec.Controls)
	ck.Require("--control", len(ec.Controls) > 0)
	for _, addr := range ec.Controls {
		ck.Address("--control", addr)
	}
	self := false
	for _, item := range split(ec.Entries) {
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
	kt, err := ec.open("entry")
	if err != nil {
		return err
	}
	pr := ec.build(kt)
	ctx := stopContext(kt.logger, func() string { return fmt.Sprintf("%d requests", pr.front.InFlight()) })
	_ = kt.logger.Log("level", "info", "msg", "started", "version", cli.Version, "zone", ec.Zone)
	return pr.run(ctx, kt)
}

// entryProcess holds the parts of an entry instance.
type entryProcess struct {
	clk      clock.System
	table    *placement.Table
	store    *ledger.Store
	mesh     *mesh.Mesh
	follower *viewsync.Subscriber
	front    *callerapi.Server
	steps    []weir.Component
}

func (ec *entryCommand) build(kt kit) *entryProcess {
	clk := clock.System{}
	zone := weir.Zone(ec.Zone)
	self := peer.Identity{ID: ec.ID, Role: "entry", Zone: ec.Zone}
	pr := &entryProcess{clk: clk, table: placement.New(clk, zone)}
	pr.store = ledger.NewStore(clk.Now(), ec.LedgerRetention, ec.LedgerKeys)
	pr.mesh = &mesh.Mesh{Self: self, Peers: ec.peers, Token: kt.token, Clock: clk, Logger: kt.logger, Free: pr.table.FreeSlots}
	pr.follower = &viewsync.Subscriber{
		Controls: ec.Controls, Token: kt.token, Self: self, Logger: kt.logger, OnView: pr.table.SetView,
	}
	dp := &dispatch.Dispatcher{
		Self: ec.ID, Zone: zone, Entries: ec.sites(), Table: pr.table, Mesh: pr.mesh, Store: pr.store, Clock: clk,
	}
	pr.front = &callerapi.Server{
		Addr: ec.CallerAddr, Zone: zone, Dispatcher: dp, Services: pr.table, Clock: clk,
		Ready: pr.ready, DrainNotice: ec.DrainNotice, DrainPatience: ec.DrainPatience,
	}
	sv := &serve.PeerHandler{Dispatcher: dp, Table: pr.table, Store: pr.store, Mesh: pr.mesh, Clock: clk}
	pr.steps = []weir.Component{
		&ops.Server{
			Addr: ec.OpsAddr, Operators: kt.operators, Level: kt.level, Version: cli.Version,
			Dump: pr.dump, Ready: pr.ready,
		},
		pr.follower,
		pr.mesh,
		&peer.Server{Addr: ec.PeerAddr, Token: kt.token, Handle: sv.Handle, Logger: kt.logger},
		&ledger.Recovery{
			Self: ec.ID, Replicas: ec.replicaPeers(), Store: pr.store, Caller: pr.mesh, Logger: kt.logger,
		},
		&report.Reporter{
			Self: ec.ID, Zone: zone, Started: clk.Now().UTC().Round(time.Millisecond), Table: pr.table,
			Control: pr.follower, Clock: clk, Logger: kt.logger,
		},
		&serve.AnnouncementServer{Addr: ec.EndpointAddr, Table: pr.table},
		&run.Func{Name: "drainer", Do: pr.drain},
		pr.front,
	}
	return pr
}

func (ec *entryCommand) sites() []ledger.EntryInstance {
	sites := make([]ledger.EntryInstance, 0, len(ec.peers))
	for _, pe := range ec.peers {
		sites = append(sites, ledger.EntryInstance{Entry: pe.ID, Zone: pe.Zone})
	}
	return sites
}

// replicaPeers returns all members of the ledger groups that this instance
// belongs to.
func (ec *entryCommand) replicaPeers() []string {
	members := map[string]bool{}
	for _, si := range ec.sites() {
		ids := ledger.Replicas(ec.sites(), si.Zone)
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

// run works until the context ends. The steps stop last to first: callers
// are let finish before the links that carry their requests go down.
func (pr *entryProcess) run(ctx context.Context, kt kit) error {
	return run.All(ctx, kt.logger, pr.steps...)
}

func (pr *entryProcess) ready() error {
	switch {
	case pr.front.Stopping():
		return errors.New("stopping")
	case pr.follower.View().Index == 0:
		return errors.New("no configuration yet")
	case !pr.store.AcceptsNewKeys(pr.clk.Now()):
		return errors.New("ledger has not caught up")
	}
	return nil
}

// entryState is an entry instance's part of the state dump.
type entryState struct {
	View      uint64                    `json:"view"`
	Number    uint64                    `json:"number"`
	InFlight  int64                     `json:"inFlight"`
	Ledger    ledger.Stats              `json:"ledger"`
	Endpoints []placement.EndpointState `json:"endpoints"`
	Demand    any                       `json:"demand"`
}

func (pr *entryProcess) dump() any {
	vw := pr.follower.View()
	return entryState{
		View: vw.Index, Number: vw.ConfigNumber, InFlight: pr.front.InFlight(), Ledger: pr.store.Stats(),
		Endpoints: pr.table.Endpoints(), Demand: pr.table.Demand(),
	}
}

const (
	drainPoll    = 50 * time.Millisecond
	drainAtMost  = 30 * time.Second
	drainAtLeast = 1500 * time.Millisecond
)

// drain waits for the stop, makes endpoints lease themselves elsewhere and
// lets requests that other entry instances placed here finish, before the
// links go down.
func (pr *entryProcess) drain(ctx context.Context) error {
	<-ctx.Done()
	pr.table.Stop()
	for waited := time.Duration(0); waited < drainAtMost; waited += drainPoll {
		if waited >= drainAtLeast && pr.table.Busy() == 0 {
			return nil
		}
		time.Sleep(drainPoll)
	}
	return nil
}
