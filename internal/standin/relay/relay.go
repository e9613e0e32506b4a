// Package relay simulates the network between zones. It forwards TCP connections
// and can, on request, cut off a zone or stop forwarding on open connections
// without closing them.
//
// Usage:
//
//	rl := &relay.Relay{ControlAddr: addr, Routes: routes}
//	go rl.Run(ctx)
//	POST /cut/<zone>, /heal/<zone>, /silence
package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/common/ops"
)

// Kind classifies the errors of this package.
type Kind string

// KindListen means that a listener could not be opened.
const KindListen Kind = "cannot listen"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// Route forwards connections from one zone to a process in another.
type Route struct {
	FromZone string
	Listen   string
	Target   string
	ToZone   string
}

const (
	bufferSize  = 32 << 10
	dialTimeout = time.Second
)

// Relay forwards connections along its routes. Set the exported fields before
// Run.
type Relay struct {
	ControlAddr string
	Routes      []Route

	mu       sync.Mutex
	cutZones map[string]bool
	// silencedUpTo is the id of the newest connection that no longer forwards;
	// neither do the older ones.
	silencedUpTo int
	accepted     int
	control      net.Listener
	listeners    []net.Listener
}

// String returns the component's name in logs.
func (rl *Relay) String() string { return "relay" }

// Default opens all listeners.
func (rl *Relay) Default() error {
	rl.cutZones = map[string]bool{}
	var err error
	if rl.control, err = net.Listen("tcp", rl.ControlAddr); err != nil {
		return &Error{Op: "relay", Kind: KindListen, Err: err}
	}
	for _, rt := range rl.Routes {
		lis, err := net.Listen("tcp", rt.Listen)
		if err != nil {
			return &Error{Op: "relay", Kind: KindListen, Err: err}
		}
		rl.listeners = append(rl.listeners, lis)
	}
	return nil
}

// Run forwards until the context is cancelled.
func (rl *Relay) Run(ctx context.Context) error {
	for ix, lis := range rl.listeners {
		go rl.acceptLoop(lis, rl.Routes[ix])
		defer func() { _ = lis.Close() }()
	}
	ech := ops.NewEcho()
	ech.POST("/cut/:zone", func(ctx echo.Context) error { return rl.setCut(ctx, true) })
	ech.POST("/heal/:zone", func(ctx echo.Context) error { return rl.setCut(ctx, false) })
	ech.POST("/silence", rl.silence)
	return ops.Serve(ctx, ops.NewHTTPServer(ech), rl.control, time.Second)
}

// setCut cuts off or reconnects the zone named in the path.
func (rl *Relay) setCut(ctx echo.Context, cut bool) error {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.cutZones[ctx.Param("zone")] = cut
	return ctx.NoContent(http.StatusOK)
}

// silence permanently stops forwarding on all open connections.
func (rl *Relay) silence(ctx echo.Context) error {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.silencedUpTo = rl.accepted
	return ctx.NoContent(http.StatusOK)
}

func (rl *Relay) isCut(rt Route) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.cutZones[rt.FromZone] || rl.cutZones[rt.ToZone]
}

func (rl *Relay) isSilent(id int) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return id <= rl.silencedUpTo
}

func (rl *Relay) acceptLoop(lis net.Listener, rt Route) {
	for {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		rl.mu.Lock()
		rl.accepted++
		id := rl.accepted
		rl.mu.Unlock()
		go rl.forward(conn, rt, id)
	}
}

// forward connects an accepted connection to its target. While a zone is cut
// off, data is held back, as TCP would resend it after the loss.
func (rl *Relay) forward(client net.Conn, rt Route, id int) {
	for rl.isCut(rt) {
		time.Sleep(cutPollInterval)
	}
	upstream, err := net.DialTimeout("tcp", rt.Target, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	go rl.pipe(client, upstream, rt, id)
	rl.pipe(upstream, client, rt, id)
}

const cutPollInterval = 20 * time.Millisecond

// pipe copies data in one direction. On a silenced connection it discards the
// data instead.
func (rl *Relay) pipe(from, to net.Conn, rt Route, id int) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if rl.isSilent(id) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		for rl.isCut(rt) {
			time.Sleep(cutPollInterval)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
