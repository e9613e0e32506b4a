// Package serve handles the calls of other entry instances and the
// announcements of endpoints.
//
// Usage:
//
//	hd := &serve.PeerHandler{Dispatcher: dp, Table: tb, Store: st, Mesh: ms, Clock: clk}
//	server := &peer.Server{Addr: addr, Token: token, Handle: hd.Handle}
//	announcements := &serve.AnnouncementServer{Addr: addr, Table: tb}
package serve

import (
	"context"
	"net"
	"net/http"
	"time"

	"greengageweir/internal/common/admit"
	"greengageweir/internal/common/errkind"
	"greengageweir/internal/common/ops"
	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/entry/dispatch"
	"greengageweir/internal/entry/ledger"
	"greengageweir/internal/entry/mesh"
	"greengageweir/internal/entry/routing"
	"greengageweir/internal/link/peer"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// KindListen means that the listener could not be opened.
const KindListen Kind = "cannot listen"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// PeerHandler handles the calls of other entry instances. Set the exported
// fields before use.
type PeerHandler struct {
	Dispatcher *dispatch.Dispatcher
	Table      *routing.Table
	Store      *ledger.Store
	Mesh       *mesh.Mesh
	Clock      weir.Clock
}

// Handle implements peer.Handler.
func (sv *PeerHandler) Handle(ctx context.Context, call peer.Call) (any, error) {
	switch call.Method {
	case peerapi.EntryCall:
		var params dispatch.CallParams
		if err := call.Decode(&params); err != nil {
			return nil, err
		}
		return sv.Dispatcher.RunKeyed(ctx, params.LocalRequest(sv.Clock.Now())), nil
	case peerapi.EntryRun:
		var params dispatch.CallParams
		if err := call.Decode(&params); err != nil {
			return nil, err
		}
		return sv.Dispatcher.RunOnFreeSlot(ctx, params.LocalRequest(sv.Clock.Now())), nil
	case peerapi.EntryAdvert:
		var ad peerapi.Advert
		if err := call.Decode(&ad); err != nil {
			return nil, err
		}
		sv.Mesh.HandleAdvert(ad)
		return nil, nil
	}
	return sv.handleLedger(ctx, call)
}

func (sv *PeerHandler) handleLedger(ctx context.Context, call peer.Call) (any, error) {
	switch call.Method {
	case peerapi.LedgerReserve:
		var res peerapi.ReserveRequest
		if err := call.Decode(&res); err != nil {
			return nil, err
		}
		return sv.Store.Reserve(sv.Clock.Now(), res), nil
	case peerapi.LedgerFinish:
		var fin peerapi.FinishRequest
		if err := call.Decode(&fin); err != nil {
			return nil, err
		}
		sv.Store.Finish(fin)
		return struct{}{}, nil
	case peerapi.LedgerJoin:
		var jo peerapi.JoinRequest
		if err := call.Decode(&jo); err != nil {
			return nil, err
		}
		return sv.Dispatcher.AwaitAttempt(ctx, jo), nil
	case peerapi.LedgerDump:
		var du peerapi.DumpRequest
		if err := call.Decode(&du); err != nil {
			return nil, err
		}
		return sv.Store.Dump(du.After), nil
	}
	return nil, peer.MethodNotFound(call.Method)
}

const (
	maxAnnouncementSize  = "1M"
	maxAnnouncementBytes = 1 << 20
	shutdownTimeout      = time.Second
)

// AnnouncementServer is the HTTP server for the announcements of endpoints. Set
// the exported fields before Default.
type AnnouncementServer struct {
	Addr  string
	Table *routing.Table
	// Limits bounds what clients can make the process hold; nil sets no bounds.
	Limits *admit.Listener

	listener net.Listener
	server   *http.Server
}

// String returns the component's name in logs.
func (an *AnnouncementServer) String() string { return "endpoints' server" }

// Default opens the listener and registers the route.
func (an *AnnouncementServer) Default() error {
	lis, err := net.Listen("tcp", an.Addr)
	if err != nil {
		return &Error{Op: "endpoints' server", Kind: KindListen, Err: err}
	}
	an.listener = lis
	ech := ops.NewEcho()
	ech.Use(middleware.BodyLimit(maxAnnouncementSize))
	ech.POST(endpoint.PathAnnounce, an.handleAnnounce)
	an.server = ops.NewHTTPServer(ech)
	if an.Limits != nil {
		an.Limits.MaxBody = maxAnnouncementBytes
		an.listener = an.Limits.Attach(an.server, lis)
	}
	return nil
}

// Address returns the address of the listener.
func (an *AnnouncementServer) Address() string { return an.listener.Addr().String() }

// Run serves until the context ends.
func (an *AnnouncementServer) Run(ctx context.Context) error {
	return ops.Serve(ctx, an.server, an.listener, shutdownTimeout)
}

func (an *AnnouncementServer) handleAnnounce(ctx echo.Context) error {
	var ann endpoint.Announcement
	if err := ctx.Bind(&ann); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return ctx.JSON(http.StatusOK, an.Table.Announce(ann))
}
