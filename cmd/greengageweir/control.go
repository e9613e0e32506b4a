package main

import (
	"time"

	"greengageweir/internal/common/cli"
	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/ops"
	"greengageweir/internal/common/run"
	"greengageweir/internal/common/settings"
	"greengageweir/internal/contract/platform"
	"greengageweir/internal/control/hub"
	"greengageweir/internal/control/operatorapi"
	"greengageweir/internal/control/reconcile"
	"greengageweir/internal/control/registry"
	"greengageweir/internal/control/rpc"
	"greengageweir/internal/fleet/fsm"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
	"greengageweir/internal/state/node"
	"greengageweir/internal/state/replica"
	"greengageweir/internal/state/wal"

	weir "greengageweir"
)

// controlCommand runs a control process.
type controlCommand struct {
	commonFlags
	DataDir   string        `long:"data-dir" env:"WEIR_DATA_DIR" description:"Folder for the replicated log"`
	Members   []string      `long:"member" env:"WEIR_MEMBERS" env-delim:"," description:"Control process as id=IP:port, including this one; repeat for each"`
	Platforms []string      `long:"platform" env:"WEIR_PLATFORMS" env-delim:"," description:"Platform address as zone=IP:port, zone * for all others"`
	Heartbeat time.Duration `long:"heartbeat" env:"WEIR_HEARTBEAT" default:"50ms" description:"Time between a leader's heartbeats"`
	Election  time.Duration `long:"election" env:"WEIR_ELECTION" default:"500ms" description:"Minimum time without a heartbeat before an election"`

	members   map[string]string
	platforms map[weir.Zone]string
}

func (cc *controlCommand) check() error {
	var ck settings.Checks
	cc.commonFlags.check(&ck)
	ck.Require("--data-dir", cc.DataDir != "")
	ck.Range("--heartbeat", cc.Heartbeat, 10*time.Millisecond, 5*time.Second)
	ck.Range("--election", cc.Election, 4*cc.Heartbeat, time.Minute)
	cc.members = map[string]string{}
	for _, item := range splitList(cc.Members) {
		id, addr := ck.Pair("--member", item)
		ck.Address("--member", addr)
		cc.members[id] = addr
	}
	ck.Require("--member "+cc.ID+"=...", cc.members[cc.ID] != "")
	cc.platforms = map[weir.Zone]string{}
	for _, item := range splitList(cc.Platforms) {
		zone, addr := ck.Pair("--platform", item)
		ck.Address("--platform", addr)
		cc.platforms[weir.Zone(zone)] = addr
	}
	return ck.Err()
}

// Execute implements flags.Commander.
func (cc *controlCommand) Execute([]string) error {
	if err := cc.check(); err != nil {
		return err
	}
	deps, err := cc.setup("control")
	if err != nil {
		return err
	}
	ctx := signalContext(deps.logger, func() string { return "no synced data" })
	_ = deps.logger.Log("level", "info", "msg", "started", "version", cli.Version, "zone", cc.Zone)
	return run.All(ctx, deps.logger, cc.build(deps)...)
}

// controlState is a control process's part of the state dump.
type controlState struct {
	Log          replica.Status   `json:"log"`
	Applied      uint64           `json:"applied"`
	ConfigNumber uint64           `json:"number"`
	Subscribers  int              `json:"subscribers"`
	Pools        []fsm.PoolStatus `json:"pools"`
}

func (cc *controlCommand) build(deps dependencies) []weir.Component {
	clk := clock.System{}
	self := peer.Identity{ID: cc.ID, Role: "control", Zone: cc.Zone}
	hb := hub.New()
	mc := fsm.New(hb.Publish, hb.Reset)
	hb.View = mc.View
	rg := registry.New()
	lks := &links.Links{Self: self, Token: deps.token, Addrs: cc.members, Logger: deps.logger}
	nd := &node.Node{
		ID: cc.ID, Members: cc.memberIDs(), Dir: cc.DataDir, StateMachine: mc, Send: lks.Send, Clock: clk,
		Logger: deps.logger, Heartbeat: cc.Heartbeat, Election: cc.Election,
	}
	sv := &rpc.Service{Self: cc.ID, Node: nd, Machine: mc, Hub: hb, Registry: rg, Links: lks, Clock: clk}
	api := &operatorapi.API{Service: sv}
	dump := func() any {
		st := controlState{Log: nd.Status(), Subscribers: hb.Subscribers()}
		mc.Read(func(rd fsm.Reader) { st.Applied, st.ConfigNumber, st.Pools = rd.Index(), rd.ConfigNumber(), rd.Pools() })
		return st
	}
	ready := func() error {
		if nd.Status().Leader == "" {
			return &rpc.Error{Op: "ready", Kind: rpc.KindNoLeader}
		}
		return nil
	}
	return []weir.Component{
		lks,
		nd,
		&peer.Server{Addr: cc.PeerAddr, Token: deps.token, Handle: sv.Handle, OnDisconnect: hb.Unsubscribe, Logger: deps.logger, MaxLinks: deps.limits.MaxLinks()},
		&reconcile.Reconciler{
			Machine: mc, Registry: rg, Platform: &platform.Client{Addrs: cc.platforms}, Clock: clk,
			Logger: deps.logger, IsLeader: sv.IsLeader, Propose: sv.Propose,
		},
		&ops.Server{
			Addr: cc.OpsAddr, Operators: deps.operators, Level: deps.level, Version: cli.Version,
			Dump: dump, Ready: ready, Routes: api.Routes, Limits: operatorLimits(deps.limits),
		},
	}
}

func (cc *controlCommand) memberIDs() []string {
	ids := make([]string, 0, len(cc.members))
	for id := range cc.members {
		ids = append(ids, id)
	}
	return ids
}

// formatCommand formats the data folder of a member of a new cluster. A control
// process that starts with an empty folder joins as a learner instead.
type formatCommand struct {
	DataDir string `long:"data-dir" env:"WEIR_DATA_DIR" required:"true" description:"Folder for the replicated log"`
}

// Execute implements flags.Commander.
func (fc *formatCommand) Execute([]string) error { return wal.Format(fc.DataDir, false) }
