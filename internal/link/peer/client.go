package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	redialMin = 50 * time.Millisecond
	redialMax = time.Second
)

// Client maintains one link to a server and dials again when it breaks. Set the
// exported fields before Run.
type Client struct {
	Addr  string
	Token string
	Self  Identity
	// HeartbeatInterval is the time between heartbeats; zero selects the default.
	HeartbeatInterval time.Duration
	// Handle handles calls and notifications that the server sends; it may be nil.
	Handle Handler

	mu     sync.Mutex
	conn   *jsonrpc2.Conn
	silent bool // a heartbeat has been unanswered for silentAfter
}

// String returns the component's name for logs.
func (cl *Client) String() string { return "link to " + cl.Addr }

// Default validates the settings.
func (cl *Client) Default() error {
	if cl.Addr == "" || cl.Token == "" {
		return &Error{Op: "peer client", Kind: KindInvalidSettings, Err: errors.New("address or token missing")}
	}
	return nil
}

// Run keeps the link connected until the context ends.
func (cl *Client) Run(ctx context.Context) error {
	wait := redialMin
	for ctx.Err() == nil {
		if cl.runLink(ctx) {
			wait = redialMin
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, redialMax)
	}
	return nil
}

// runLink dials, performs the handshake and keeps the link until it breaks. It
// reports whether the handshake succeeded.
func (cl *Client) runLink(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", cl.Addr)
	if err != nil {
		return false
	}
	stream := jsonrpc2.NewBufferedStream(newDeadlineConn(raw), &frameCodec{maxRead: maxFrameBytes})
	conn := jsonrpc2.NewConn(ctx, stream, &clientHandler{cl: cl}, jsonrpc2.SetLogger(discardLogger{}))
	defer func() { _ = conn.Close() }()
	if err := callWithTimeout(ctx, conn, methodHello, hello{Version: ProtocolVersion, Token: cl.Token, Self: cl.Self}); err != nil {
		return false
	}
	cl.setConn(conn)
	defer cl.setConn(nil)
	cl.sendHeartbeats(ctx, conn)
	return true
}

// sendHeartbeats sends heartbeats until one fails or times out.
func (cl *Client) sendHeartbeats(ctx context.Context, conn *jsonrpc2.Conn) {
	every := cl.HeartbeatInterval
	if every == 0 {
		every = HeartbeatInterval
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-conn.DisconnectNotify():
			return
		case <-ticker.C:
			if cl.heartbeat(ctx, conn) != nil {
				return
			}
		}
	}
}

// heartbeat sends one heartbeat and marks the link as silent while the reply is
// overdue.
func (cl *Client) heartbeat(ctx context.Context, conn *jsonrpc2.Conn) error {
	overdue := time.AfterFunc(silentAfter, func() { cl.setSilent(conn, true) })
	err := callWithTimeout(ctx, conn, methodHeartbeat, nil)
	overdue.Stop()
	if err == nil {
		cl.setSilent(conn, false)
	}
	return err
}

func callWithTimeout(ctx context.Context, conn *jsonrpc2.Conn, method string, params any) error {
	ctx, cancel := context.WithTimeout(ctx, LinkTimeout)
	defer cancel()
	return conn.Call(ctx, method, params, nil)
}

func (cl *Client) setConn(conn *jsonrpc2.Conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.conn, cl.silent = conn, false
}

// setSilent records whether the peer owes the reply to a heartbeat on a
// connection.
func (cl *Client) setSilent(conn *jsonrpc2.Conn, silent bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.conn == conn {
		cl.silent = silent
	}
}

// Responsive reports whether the link is up and the peer replies to heartbeats.
// It notices a silent peer sooner than Connected, which is false only once the
// link is given up.
func (cl *Client) Responsive() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.conn != nil && !cl.silent
}

// Conn returns the current connection, nil while the link is down.
func (cl *Client) Conn() *jsonrpc2.Conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.conn
}

// Connected reports whether the link is connected.
func (cl *Client) Connected() bool { return cl.Conn() != nil }

// Call sends a request and waits for its result. The error is of KindNotSent if the
// link is down, of KindRemote if the other side returned an error and of
// KindReplyLost if the request may have been handled.
func (cl *Client) Call(ctx context.Context, method string, params, result any) error {
	conn := cl.Conn()
	if conn == nil {
		return &Error{Op: method, Kind: KindNotSent}
	}
	err := conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return &Error{Op: method, Kind: KindRemote, Err: remote}
	}
	// The library does not report whether the request was sent before the link
	// broke.
	return &Error{Op: method, Kind: KindReplyLost, Err: err}
}

// Notify sends a notification; it is dropped if the link is down.
func (cl *Client) Notify(ctx context.Context, method string, params any) error {
	conn := cl.Conn()
	if conn == nil {
		return &Error{Op: method, Kind: KindNotSent}
	}
	if err := conn.Notify(ctx, method, params); err != nil {
		return &Error{Op: method, Kind: KindReplyLost, Err: err}
	}
	return nil
}

// clientHandler handles calls and notifications from the server.
type clientHandler struct{ cl *Client }

// Handle implements jsonrpc2.Handler.
func (ch *clientHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if ch.cl.Handle == nil {
		return
	}
	call := Call{Method: req.Method, Conn: conn}
	if req.Params != nil {
		call.Params = *req.Params
	}
	result, err := ch.cl.Handle(ctx, call)
	if !req.Notif {
		sendReply(ctx, conn, req.ID, result, err)
	}
}
