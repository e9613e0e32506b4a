package ops

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Listener is a step that serves HTTP at an address. After the context's end
// it goes on for Linger, so that callers that were sent here still get
// answers, and then lets what is in flight finish for at most Patience.
type Listener struct {
	Name            string
	Addr            string
	Handler         http.Handler
	ShutdownDelay   time.Duration
	ShutdownTimeout time.Duration

	lis net.Listener
}

// String is the step's name in logs.
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

// Run serves until the context ends, and a little longer.
func (ls *Listener) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(ls.ShutdownDelay, cancel) })
	defer stop()
	return Serve(serveCtx, NewHTTPServer(ls.Handler), ls.lis, ls.ShutdownTimeout)
}
