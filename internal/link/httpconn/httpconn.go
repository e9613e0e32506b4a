// Package httpconn sends HTTP requests to endpoints and reports for each failed
// request whether the endpoint may have received it. It keeps idle connections,
// but reuses a connection for a request that must not be repeated only if the
// connection delivered a response within MaxReuseAge; otherwise it dials a new one.
//
// Usage:
//
//	pl := httpconn.NewPool("127.0.0.1:9000", 64, clk)
//	resp, err := pl.Do(ctx, httpconn.Request{Method: "POST", Path: "/work", Body: body})
//	errkind.Is(err, httpconn.KindNotSent) // the endpoint did not receive anything
package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"greengageweir/internal/common/errkind"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindNotSent means that no byte of the request was written to the socket.
	KindNotSent Kind = "not sent"
	// KindBroken means that the endpoint may have received the request.
	KindBroken Kind = "connection broken after sending"
	// KindTooLarge means that the response body exceeds MaxBodyBytes.
	KindTooLarge Kind = "answer too large"
	// KindNotPermitted means that nothing was sent because Permitted returned
	// false.
	KindNotPermitted Kind = "no longer permitted"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// MaxReuseAge is how long after a response a connection is reused for a request
	// that must not be repeated.
	MaxReuseAge = time.Second
	// MaxBodyBytes is the maximum size of a response body.
	MaxBodyBytes = 4 << 20

	dialTimeout = 500 * time.Millisecond
	idleTimeout = 30 * time.Second
	bufferBytes = 8 << 10
)

// Header is one HTTP header.
type Header struct{ Name, Value string }

// Request is an HTTP request to an endpoint.
type Request struct {
	Method string
	// Host is the Host header; if empty, the pool's address is used.
	Host string
	// Path may include a query; it is sent unchanged.
	Path    string
	Headers []Header
	Body    []byte
	// Repeatable allows an idle connection without a recent response, which may
	// turn out to be broken.
	Repeatable bool
	// Permitted is asked right before the first byte is written; if it returns
	// false, nothing is sent. nil permits the request.
	Permitted func() bool
}

// Response is a complete response of an endpoint.
type Response struct {
	Status int
	Body   []byte

	raw *fasthttp.Response
}

// Header returns the value of a header, "" if it is missing.
func (rs *Response) Header(name string) string { return string(rs.raw.Header.Peek(name)) }

// Pool holds the connections to one endpoint.
type Pool struct {
	addr  string
	clk   weir.Clock
	limit chan struct{}

	// shared holds the pools that share a soft limit on connections; nil means no
	// soft limit.
	shared *Pools

	mu     sync.Mutex
	idle   []*conn
	closed bool
	// open counts the pool's connections, idle or in use.
	open int
}

// conn is one connection; lastResponseAt is when it last delivered a complete
// response.
type conn struct {
	net.Conn
	rd             *bufio.Reader
	wr             *bufio.Writer
	sent           *countingWriter
	lastResponseAt time.Time
}

// countingWriter counts the bytes written to the socket.
type countingWriter struct {
	wr    io.Writer
	count int
}

// Write implements io.Writer.
func (cw *countingWriter) Write(buf []byte) (int, error) {
	n, err := cw.wr.Write(buf)
	cw.count += n
	return n, err
}

// NewPool returns a pool that never has more than limit connections in use.
func NewPool(addr string, limit int, clk weir.Clock) *Pool {
	return &Pool{addr: addr, clk: clk, limit: make(chan struct{}, limit)}
}

// Close closes idle connections; connections in use are closed after their
// request.
func (pl *Pool) Close() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.closed = true
	for _, cn := range pl.idle {
		pl.discard(cn)
	}
	pl.idle = nil
}

// Do sends the request and reads the complete response. It returns an Error; its
// Kind tells whether the endpoint may have received the request.
func (pl *Pool) Do(ctx context.Context, req Request) (*Response, error) {
	select {
	case pl.limit <- struct{}{}:
	default:
		return nil, &Error{Op: "connect " + pl.addr, Kind: KindNotSent, Err: errors.New("all connections in use")}
	}
	defer func() { <-pl.limit }()
	cn, err := pl.acquire(ctx, req.Repeatable)
	if err != nil {
		return nil, &Error{Op: "connect " + pl.addr, Kind: KindNotSent, Err: err}
	}
	resp, reusable, err := pl.roundTrip(ctx, cn, req)
	if err != nil || !reusable {
		pl.mu.Lock()
		pl.discard(cn)
		pl.mu.Unlock()
		return resp, err
	}
	pl.release(cn)
	return resp, nil
}

// acquire returns an idle connection that may be reused, or a new one.
func (pl *Pool) acquire(ctx context.Context, repeatable bool) (*conn, error) {
	now := pl.clk.Now()
	maxAge := MaxReuseAge
	if repeatable {
		maxAge = idleTimeout
	}
	pl.mu.Lock()
	for len(pl.idle) > 0 {
		cn := pl.idle[len(pl.idle)-1]
		pl.idle = pl.idle[:len(pl.idle)-1]
		if now.Sub(cn.lastResponseAt) <= maxAge {
			pl.mu.Unlock()
			return cn, nil
		}
		pl.discard(cn)
	}
	pl.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", pl.addr)
	if err != nil {
		return nil, err
	}
	pl.mu.Lock()
	pl.open++
	pl.mu.Unlock()
	if pl.shared != nil {
		pl.shared.open.Add(1)
	}
	sent := &countingWriter{wr: raw}
	return &conn{Conn: raw, rd: bufio.NewReaderSize(raw, bufferBytes), wr: bufio.NewWriterSize(sent, bufferBytes), sent: sent}, nil
}

func (pl *Pool) release(cn *conn) {
	cn.lastResponseAt = pl.clk.Now()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	overLimit := pl.shared != nil && pl.open > 1 && pl.shared.open.Load() > pl.shared.softLimit
	if pl.closed || overLimit {
		pl.discard(cn)
		return
	}
	pl.idle = append(pl.idle, cn)
}

// discard closes a connection. The caller must hold the lock.
func (pl *Pool) discard(cn *conn) {
	_ = cn.Close()
	pl.open--
	if pl.shared != nil {
		pl.shared.open.Add(-1)
	}
}

// roundTrip writes the request and reads the response; the second result reports
// whether the connection can be reused. The connection is closed when the context
// ends, so that a call on an unresponsive connection returns.
func (pl *Pool) roundTrip(ctx context.Context, cn *conn, req Request) (*Response, bool, error) {
	stop := context.AfterFunc(ctx, func() { reset(cn.Conn) })
	defer stop()
	cn.sent.count = 0
	if req.Permitted != nil && !req.Permitted() {
		return nil, false, &Error{Op: "send to " + pl.addr, Kind: KindNotPermitted}
	}
	if err := pl.write(cn, req); err != nil {
		return nil, false, &Error{Op: "send to " + pl.addr, Kind: sendErrorKind(cn.sent.count), Err: err}
	}
	raw := &fasthttp.Response{SkipBody: req.Method == http.MethodHead}
	if err := readHeader(cn, raw); err != nil {
		return nil, false, &Error{Op: "read from " + pl.addr, Kind: KindBroken, Err: err}
	}
	// A response without a length ends with the connection, so a truncated response
	// cannot be told from a complete one.
	if raw.Header.ContentLength() == noContentLength && bodyAllowed(raw.StatusCode()) && !raw.SkipBody {
		return nil, false, &Error{Op: "read body from " + pl.addr, Kind: KindBroken, Err: errors.New("answer without a length")}
	}
	if !raw.SkipBody && bodyAllowed(raw.StatusCode()) {
		if err := raw.ReadBody(cn.rd, MaxBodyBytes); err != nil {
			kind := KindBroken
			if errors.Is(err, fasthttp.ErrBodyTooLarge) {
				kind = KindTooLarge
			}
			return nil, false, &Error{Op: "read body from " + pl.addr, Kind: kind, Err: err}
		}
	}
	resp := &Response{Status: raw.StatusCode(), Body: raw.Body(), raw: raw}
	return resp, stop() && !raw.ConnectionClose(), nil
}

// noContentLength is fasthttp's content length for a response that ends with the
// connection.
const noContentLength = -2

func (pl *Pool) write(cn *conn, req Request) error {
	raw := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(raw)
	raw.Header.SetMethod(req.Method)
	raw.Header.SetRequestURI(req.Path)
	raw.Header.SetHost(req.Host)
	if req.Host == "" {
		raw.Header.SetHost(pl.addr)
	}
	raw.Header.SetNoDefaultContentType(true)
	for _, fd := range req.Headers {
		raw.Header.Set(fd.Name, fd.Value)
	}
	raw.SetBodyRaw(req.Body)
	if err := raw.Write(cn.wr); err != nil {
		return err
	}
	return cn.wr.Flush()
}

// readHeader reads the header of the final response and skips informational (1xx)
// responses.
func readHeader(cn *conn, raw *fasthttp.Response) error {
	for {
		if err := raw.Header.Read(cn.rd); err != nil {
			return err
		}
		if code := raw.StatusCode(); code >= http.StatusOK || code == http.StatusSwitchingProtocols {
			return nil
		}
	}
}

// reset closes a connection with a TCP reset, so that data still in the network is
// discarded and does not arrive seconds later.
func reset(cn net.Conn) {
	if tcp, ok := cn.(*net.TCPConn); ok {
		// If SetLinger fails, the connection is closed normally.
		_ = tcp.SetLinger(0)
	}
	_ = cn.Close()
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// MarkNotSent returns an error that wraps weir.ErrNotSent if no byte of the request was
// sent, and other errors unchanged.
func MarkNotSent(err error) error {
	if errkind.Is(err, KindNotSent) {
		return errors.Wrap(weir.ErrNotSent, err.Error())
	}
	return err
}

func sendErrorKind(sent int) Kind {
	if sent == 0 {
		return KindNotSent
	}
	return KindBroken
}
