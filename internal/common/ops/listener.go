package ops

import (
	"context"
	"net"
	"net/http"
	"time"

	"greengageweir/internal/common/admit"
)

// Listener is a component that serves HTTP on an address. When its context ends,
// it keeps accepting requests for ShutdownDelay, so that callers that a load
// balancer still sends here get responses. Then it gives requests in flight up
// to ShutdownTimeout to finish.
type Listener struct {
	Name            string
	Addr            string
	Handler         http.Handler
	ShutdownDelay   time.Duration
	ShutdownTimeout time.Duration
	// Limits bounds what clients can make the process hold; nil sets no bounds.
	Limits *admit.Listener

	lis net.Listener
}

// String returns the name of the component in logs.
func (ls *Listener) String() string { return ls.Name }

// Default opens the listener.
func (ls *Listener) Default() error {
	lis, err := net.Listen("tcp", ls.Addr)
	if err != nil {
		return &Error{Op: ls.Name + " at " + ls.Addr, Kind: KindListen, Err: err}
	}
	ls.lis = lis
	return nil
}

// Run serves until ShutdownDelay after the context ends.
func (ls *Listener) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(ls.ShutdownDelay, cancel) })
	defer stop()
	server, lis := NewHTTPServer(ls.Handler), ls.lis
	if ls.Limits != nil {
		lis = ls.Limits.Attach(server, lis)
	}
	return Serve(serveCtx, server, lis, ls.ShutdownTimeout)
}
