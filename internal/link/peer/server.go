package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	defaultMaxLinks = 1024
	// maxCallsPerLink is the maximum number of concurrent requests on one link.
	maxCallsPerLink  = 4096
	handshakeTimeout = 2 * time.Second
)

// Server accepts links. Set the exported fields before Run.
type Server struct {
	Addr     string
	Token    string
	Handle   Handler
	Logger   log.Logger
	MaxLinks int
	// OnDisconnect is called after a link was closed; it may be nil.
	OnDisconnect func(conn *jsonrpc2.Conn)

	listener net.Listener
	links    sync.WaitGroup
}

// String returns the component's name for logs.
func (sv *Server) String() string { return "peer server" }

// Default sets defaults, validates the settings and opens the listener.
func (sv *Server) Default() error {
	if sv.MaxLinks == 0 {
		sv.MaxLinks = defaultMaxLinks
	}
	if sv.Logger == nil {
		sv.Logger = log.NewNopLogger()
	}
	if sv.Token == "" {
		return &Error{Op: "peer server", Kind: KindInvalidSettings, Err: errors.New("no peer token")}
	}
	lis, err := net.Listen("tcp", sv.Addr)
	if err != nil {
		return &Error{Op: "peer server", Kind: KindListen, Err: err}
	}
	sv.listener = lis
	return nil
}

// Address returns the address on which the server listens.
func (sv *Server) Address() string { return sv.listener.Addr().String() }

// Run accepts and serves links until the context ends.
func (sv *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-ctx.Done()
		_ = sv.listener.Close()
	}()
	slots := make(chan struct{}, sv.MaxLinks)
	for {
		conn, err := sv.listener.Accept()
		if err != nil {
			sv.links.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return &Error{Op: "accept", Kind: KindListen, Err: err}
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		sv.links.Add(1)
		go func() {
			defer sv.links.Done()
			sv.serve(ctx, conn)
			<-slots
		}()
	}
}

func (sv *Server) serve(ctx context.Context, conn net.Conn) {
	codec := &frameCodec{maxRead: maxHelloBytes}
	lk := &serverLink{sv: sv, codec: codec, calls: make(chan struct{}, maxCallsPerLink), handshakeDone: make(chan struct{})}
	stream := jsonrpc2.NewBufferedStream(newDeadlineConn(conn), codec)
	rpc := jsonrpc2.NewConn(ctx, stream, lk, jsonrpc2.SetLogger(discardLogger{}))
	timer := time.NewTimer(handshakeTimeout)
	defer timer.Stop()
	select {
	case <-lk.handshakeDone:
	case <-timer.C:
		_ = rpc.Close()
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
	}
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = rpc.Close()
	}
	if sv.OnDisconnect != nil {
		sv.OnDisconnect(rpc)
	}
}

// serverLink is one accepted link.
type serverLink struct {
	sv            *Server
	codec         *frameCodec
	calls         chan struct{}
	handshakeDone chan struct{}
	from          Identity
	authenticated bool
}

// Handle implements jsonrpc2.Handler.
func (lk *serverLink) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !lk.authenticated {
		lk.handshake(ctx, conn, req)
		return
	}
	if req.Method == methodHeartbeat {
		_ = conn.Reply(ctx, req.ID, struct{}{})
		return
	}
	call := Call{From: lk.from, Method: req.Method, Conn: conn}
	if req.Params != nil {
		call.Params = *req.Params
	}
	if req.Notif {
		_, _ = lk.sv.Handle(ctx, call)
		return
	}
	select {
	case lk.calls <- struct{}{}:
	default:
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "too many calls on this link"})
		return
	}
	go func() {
		defer func() { <-lk.calls }()
		result, err := lk.sv.Handle(ctx, call)
		sendReply(ctx, conn, req.ID, result, err)
	}()
}

func (lk *serverLink) handshake(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var hi hello
	call := Call{}
	if req.Params != nil {
		call.Params = *req.Params
	}
	if req.Method != methodHello || call.Decode(&hi) != nil || !tokenEqual(hi.Token, lk.sv.Token) || hi.Version != ProtocolVersion {
		_ = lk.sv.Logger.Log("level", "warn", "msg", "link refused", "peer", hi.Self.ID, "version", hi.Version)
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "not a peer"})
		_ = conn.Close()
		return
	}
	lk.from = hi.Self
	lk.authenticated = true
	// Requests are handled on the goroutine that reads.
	lk.codec.maxRead = maxFrameBytes
	close(lk.handshakeDone)
	_ = conn.Reply(ctx, req.ID, struct{}{})
}

func sendReply(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, result any, err error) {
	if err == nil {
		_ = conn.Reply(ctx, id, result)
		return
	}
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) {
		rpcErr = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	_ = conn.ReplyWithError(ctx, id, rpcErr)
}

// discardLogger drops the library's log lines; callers get link errors as return
// values.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
