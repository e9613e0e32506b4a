// Package relay is a small stand-in for the network between zones: it
// forwards TCP connections and can cut a zone off or go silent, without
// closing anything, on request.
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

// Kind tells the errors of this package apart.
type Kind string

// KindListen says that an address cannot be listened on.
const KindListen Kind = "cannot listen"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// Route forwards what comes from one zone to a process in another.
type Route struct {
	FromZone string
	Listen   string
	Target   string
	ToZone   string
}

const (
	bufferBytes = 32 << 10
	dialTimeout = time.Second
)

// Relay forwards. Set the exported fields before Run.
type Relay struct {
	ControlAddr string
	Routes      []Route

	mu  sync.Mutex
	cut map[string]bool
	// silenced is the generation of connections that no longer forward.
	silenced int
	opened   int
	control  net.Listener
	lists    []net.Listener
}

// String is the step's name in logs.
func (rl *Relay) String() string { return "relay" }

// Default opens all listeners.
func (rl *Relay) Default() error {
	rl.cut = map[string]bool{}
	var err error
	if rl.control, err = net.Listen("tcp", rl.ControlAddr); err != nil {
		return &Error{Op: "relay", Kind: KindListen, Err: err}
	}
	for _, rt := range rl.Routes {
		lis, err := net.Listen("tcp", rt.Listen)
		if err != nil {
			return &Error{Op: "relay", Kind: KindListen, Err: err}
		}
		rl.lists = append(rl.lists, lis)
	}
	return nil
}

// Run forwards until the context ends.
func (rl *Relay) Run(ctx context.Context) error {
	for ix, lis := range rl.lists {
		go rl.accept(lis, rl.Routes[ix])
		defer func() { _ = lis.Close() }()
	}
	ech := ops.NewEcho()
	ech.POST("/cut/:zone", func(ctx echo.Context) error { return rl.set(ctx, true) })
	ech.POST("/heal/:zone", func(ctx echo.Context) error { return rl.set(ctx, false) })
	ech.POST("/silence", rl.silence)
	return ops.Serve(ctx, ops.NewHTTPServer(ech), rl.control, time.Second)
}

func (rl *Relay) set(ctx echo.Context, cut bool) error {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.cut[ctx.Param("zone")] = cut
	return ctx.NoContent(http.StatusOK)
}

// silence makes all present connections stop forwarding for good.
func (rl *Relay) silence(ctx echo.Context) error {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.silenced = rl.opened
	return ctx.NoContent(http.StatusOK)
}

func (rl *Relay) isCut(rt Route) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.cut[rt.FromZone] || rl.cut[rt.ToZone]
}

func (rl *Relay) isSilent(number int) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return number <= rl.silenced
}

func (rl *Relay) accept(lis net.Listener, rt Route) {
	for {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		rl.mu.Lock()
		rl.opened++
		number := rl.opened
		rl.mu.Unlock()
		go rl.forward(conn, rt, number)
	}
}

// forward joins a connection to its target. While a zone is cut off, what is
// sent is held back, as a network would lose and resend it.
func (rl *Relay) forward(near net.Conn, rt Route, number int) {
	for rl.isCut(rt) {
		time.Sleep(cutPoll)
	}
	far, err := net.DialTimeout("tcp", rt.Target, dialTimeout)
	if err != nil {
		_ = near.Close()
		return
	}
	go rl.copy(near, far, rt, number)
	rl.copy(far, near, rt, number)
}

const cutPoll = 20 * time.Millisecond

func (rl *Relay) copy(from, to net.Conn, rt Route, number int) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if rl.isSilent(number) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		for rl.isCut(rt) {
			time.Sleep(cutPoll)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
