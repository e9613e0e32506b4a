// Package httpconn sends one HTTP request to an endpoint and tells truthfully
// what became of it. It keeps idle connections, but puts a request that must
// not be repeated only on a connection that has proven itself within
// ProofAge; otherwise it dials a new one.
//
// Usage:
//
//	pl := httpconn.NewPool("127.0.0.1:9000", 64, clk)
//	resp, err := pl.Do(ctx, httpconn.Request{Method: "POST", Path: "/work", Body: body})
//	fault.Is(err, httpconn.KindNotSent) // the endpoint certainly got nothing
package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"greengageweir/internal/duty/errkind"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	weir "greengageweir"
)

// Kind tells the errors of this package apart.
type Kind string

// The kinds of errors.
const (
	// KindNotSent says that not one byte of the request was handed over.
	KindNotSent Kind = "not sent"
	// KindBroken says that the endpoint may have got the request.
	KindBroken Kind = "connection broken after sending"
	// KindTooLarge says that the answer is longer than is carried.
	KindTooLarge Kind = "answer too large"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// MaxReuseAge is how long a connection counts as proven after it answered.
	MaxReuseAge = time.Second
	// MaxBodyBytes bounds the body of an answer.
	MaxBodyBytes = 4 << 20

	dialTimeout = 500 * time.Millisecond
	idleAge     = 30 * time.Second
	bufferBytes = 8 << 10
)

// Header is one header field.
type Header struct{ Name, Value string }

// Request is what is sent to an endpoint.
type Request struct {
	Method string
	// Host names the endpoint; empty stands for the pool's address.
	Host string
	// Path may have a query; it is sent as it is.
	Path    string
	Headers []Header
	Body    []byte
	// Repeatable requests may be put on a connection that has not proven
	// itself lately.
	Repeatable bool
}

// Response is a whole answer of an endpoint.
type Response struct {
	Status int
	Body   []byte

	raw *fasthttp.Response
}

// Header returns the value of a header field, "" where there is none.
func (rs *Response) Header(name string) string { return string(rs.raw.Header.Peek(name)) }

// Pool holds the connections to one endpoint.
type Pool struct {
	addr  string
	clk   weir.Clock
	limit chan struct{}

	// all are the pools that share a budget of connections; nil has none.
	all *Pools

	mu     sync.Mutex
	idle   []*conn
	closed bool
	// open counts the pool's connections, idle or in use.
	open int
}

// conn is one connection; provenAt is when it last gave a whole answer.
type conn struct {
	net.Conn
	rd       *bufio.Reader
	wr       *bufio.Writer
	sent     *countingWriter
	provenAt time.Time
}

// countingWriter counts the bytes that were handed to the socket.
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

// Close closes idle connections; those in use are closed when they are done.
func (pl *Pool) Close() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.closed = true
	for _, cn := range pl.idle {
		pl.drop(cn)
	}
	pl.idle = nil
}

// Do sends the request and reads the whole answer.
func (pl *Pool) Do(ctx context.Context, req Request) (*Response, error) {
	select {
	case pl.limit <- struct{}{}:
	default:
		return nil, &Error{Op: "connect " + pl.addr, Kind: KindNotSent, Err: errors.New("all connections in use")}
	}
	defer func() { <-pl.limit }()
	cn, err := pl.take(ctx, req.Repeatable)
	if err != nil {
		return nil, &Error{Op: "connect " + pl.addr, Kind: KindNotSent, Err: err}
	}
	resp, reusable, err := pl.exchange(ctx, cn, req)
	if err != nil || !reusable {
		pl.mu.Lock()
		pl.drop(cn)
		pl.mu.Unlock()
		return resp, err
	}
	pl.give(cn)
	return resp, nil
}

// take returns an idle connection that is proven, or a new one.
func (pl *Pool) take(ctx context.Context, repeatable bool) (*conn, error) {
	now := pl.clk.Now()
	maxAge := MaxReuseAge
	if repeatable {
		maxAge = idleAge
	}
	pl.mu.Lock()
	for len(pl.idle) > 0 {
		cn := pl.idle[len(pl.idle)-1]
		pl.idle = pl.idle[:len(pl.idle)-1]
		if now.Sub(cn.provenAt) <= maxAge {
			pl.mu.Unlock()
			return cn, nil
		}
		pl.drop(cn)
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
	if pl.all != nil {
		pl.all.open.Add(1)
	}
	sent := &countingWriter{wr: raw}
	return &conn{Conn: raw, rd: bufio.NewReaderSize(raw, bufferBytes), wr: bufio.NewWriterSize(sent, bufferBytes), sent: sent}, nil
}

func (pl *Pool) give(cn *conn) {
	cn.provenAt = pl.clk.Now()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	crowded := pl.all != nil && pl.open > 1 && pl.all.open.Load() > pl.all.budget
	if pl.closed || crowded {
		pl.drop(cn)
		return
	}
	pl.idle = append(pl.idle, cn)
}

// drop closes a connection. It runs with the lock held.
func (pl *Pool) drop(cn *conn) {
	_ = cn.Close()
	pl.open--
	if pl.all != nil {
		pl.all.open.Add(-1)
	}
}

// exchange writes the request and reads the answer. The connection is closed
// when the context ends, which frees a call on a silent connection.
func (pl *Pool) exchange(ctx context.Context, cn *conn, req Request) (*Response, bool, error) {
	stop := context.AfterFunc(ctx, func() { reset(cn.Conn) })
	defer stop()
	cn.sent.count = 0
	if err := pl.write(cn, req); err != nil {
		return nil, false, &Error{Op: "send to " + pl.addr, Kind: sendKind(cn.sent.count), Err: err}
	}
	raw := &fasthttp.Response{SkipBody: req.Method == http.MethodHead}
	if err := readHeader(cn, raw); err != nil {
		return nil, false, &Error{Op: "read from " + pl.addr, Kind: KindBroken, Err: err}
	}
	// An answer without a length ends with the connection, so that a cut one
	// cannot be told from a whole one.
	if raw.Header.ContentLength() == noLength && bodyAllowed(raw.StatusCode()) && !raw.SkipBody {
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

// noLength is what the library says of an answer that ends with the
// connection.
const noLength = -2

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

// readHeader reads the header of the answer proper, past those that only
// announce it.
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

// reset closes a connection so that what the network still holds of it is
// dropped, and does not arrive seconds later.
func reset(cn net.Conn) {
	if tcp, ok := cn.(*net.TCPConn); ok {
		// Where it cannot be set, the close is an ordinary one.
		_ = tcp.SetLinger(0)
	}
	_ = cn.Close()
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

func sendKind(sent int) Kind {
	if sent == 0 {
		return KindNotSent
	}
	return KindBroken
}
