package admit

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"greengageweir/internal/common/errkind"

	"github.com/VictoriaMetrics/metrics"
)

// Kind classifies the errors of this package.
type Kind string

// KindTooLarge means that a body is over the limit.
const KindTooLarge Kind = "body too large"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// startBytes is the first size of the buffer for a body of unknown length.
	startBytes = 2 << 10
	// drainBytes and drainTime bound what is read of a refused body, so that the
	// client can read the response before the connection is closed.
	drainBytes = 256 << 10
	drainTime  = 250 * time.Millisecond
	// retryAfter is the Retry-After of a refusal, in seconds.
	retryAfter = 1
	// minMaxBody is the limit of bodies at listeners that set none: nothing there
	// takes a body.
	minMaxBody = 4 << 10
)

// Listener holds the limits of one HTTP listener. Set the exported fields before
// Attach.
type Listener struct {
	Process *Process
	// Name is the listener's name in logs and metrics.
	Name string
	// Connections is the maximum number of open connections.
	Connections int
	// MaxBody is the maximum size of a body; BodyLimit, if not nil, returns it for
	// each request.
	MaxBody   int64
	BodyLimit func(req *http.Request) int64
	// JSON is set if bodies are decoded as JSON; their values are counted first.
	JSON bool
	// Cost, if not nil, returns the bytes that a response occupies besides the body.
	Cost func(req *http.Request) int64
	// OnRefusal, if not nil, adds headers to refusals.
	OnRefusal func(header http.Header)
	// Outcome, if not nil, returns the field "outcome" of a refusal with a status.
	Outcome func(status int) string

	slots    slots
	counters map[Reason]*metrics.Counter
}

type connKey struct{}

// Attach makes a server and its listener keep the limits. It returns the listener
// to serve on.
func (ls *Listener) Attach(server *http.Server, lis net.Listener) net.Listener {
	ls.slots.byAddress = map[string]int{}
	ls.counters = map[Reason]*metrics.Counter{}
	for _, rs := range reasons {
		ls.counters[rs] = refusalCounter(ls.Name, rs)
	}
	if ls.MaxBody == 0 {
		ls.MaxBody = minMaxBody
	}
	server.Handler = ls.handler(server.Handler)
	// The windows of transfers take the place of a deadline for the whole request,
	// which a large body on a slow link would miss.
	server.ReadTimeout = 0
	if timeout := ls.Process.settings.HeaderTimeout; timeout > 0 {
		server.ReadHeaderTimeout = timeout
	}
	server.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, raw)
	}
	return &limitedListener{Listener: lis, ls: ls}
}

func (ls *Listener) count(rs Reason, from string) {
	ls.counters[rs].Inc()
	ls.Process.logRefusal(ls.Process.settings.Clock.Now(), ls.Name, rs, from)
}

// handler admits requests to the next handler.
func (ls *Listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if cn, ok := req.Context().Value(connKey{}).(*conn); ok {
			cn.phase.Store(phaseRequest)
			defer cn.phase.Store(phaseIdle)
		}
		rv := reservation{pr: ls.Process}
		defer rv.release()
		if ls.Cost != nil && !rv.add(ls.Cost(req)) {
			ls.refuse(wr, req, http.StatusServiceUnavailable, Bytes)
			return
		}
		if req.Body != nil && req.Body != http.NoBody {
			text, status, rs := ls.readBody(wr, req, &rv)
			if status != 0 {
				ls.refuse(wr, req, status, rs)
				return
			}
			bd := &readBody{text: text}
			bd.Reset(text)
			req.Body = bd
		}
		next.ServeHTTP(wr, req)
	})
}

// reservation is what one request holds of the budget.
type reservation struct {
	pr   *Process
	held int64
}

func (rv *reservation) add(size int64) bool {
	if size > 0 && !rv.pr.reserve(size, rv.held+size > smallBody) {
		return false
	}
	rv.held += size
	return true
}

func (rv *reservation) sub(size int64) {
	rv.pr.release(size)
	rv.held -= size
}

func (rv *reservation) release() { rv.sub(rv.held) }

// readBody reads a request's body. A status other than 0 is that of a refusal; the
// reason is empty if the client broke the connection.
func (ls *Listener) readBody(wr http.ResponseWriter, req *http.Request, rv *reservation) ([]byte, int, Reason) {
	limit := ls.MaxBody
	if ls.BodyLimit != nil {
		limit = ls.BodyLimit(req)
	}
	if req.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge, Body
	}
	ctl := http.NewResponseController(wr)
	ls.extendRead(ctl)
	text, status, rs := ls.readText(ctl, req, limit, rv)
	if status != 0 {
		return nil, status, rs
	}
	_ = ctl.SetReadDeadline(time.Time{})
	// The handler's copy and its decoded form.
	size := 2 * int64(len(text))
	if ls.JSON {
		shp, ok := ls.Process.measure(text)
		if !ok {
			return nil, http.StatusRequestEntityTooLarge, Fields
		}
		size += shp.decodedSize()
	}
	if !rv.add(size) {
		return nil, http.StatusServiceUnavailable, Bytes
	}
	return text, 0, ""
}

func (ls *Listener) extendRead(ctl *http.ResponseController) {
	_ = ctl.SetReadDeadline(ls.Process.settings.Clock.Now().Add(transferWindow))
}

// readText reads a body into a buffer that grows as bytes arrive, since a client may
// announce more than it sends.
func (ls *Listener) readText(ctl *http.ResponseController, req *http.Request, limit int64, rv *reservation) ([]byte, int, Reason) {
	size := int64(startBytes)
	if req.ContentLength >= 0 && req.ContentLength <= smallBody {
		size = req.ContentLength
	}
	size = min(size, limit+1)
	if !rv.add(size) {
		return nil, http.StatusServiceUnavailable, Bytes
	}
	text := make([]byte, 0, size)
	inWindow, windowBytes := 0, ls.Process.settings.MinRate*int(transferWindow/time.Second)
	for {
		if len(text) == cap(text) {
			grown := growTo(int64(cap(text)), req.ContentLength, limit)
			if !rv.add(grown) {
				return nil, http.StatusServiceUnavailable, Bytes
			}
			rv.sub(int64(cap(text)))
			text = append(make([]byte, 0, grown), text...)
		}
		n, err := req.Body.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		switch {
		case int64(len(text)) > limit:
			return nil, http.StatusRequestEntityTooLarge, Body
		case errors.Is(err, io.EOF):
			return text, 0, ""
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, http.StatusRequestTimeout, SlowBody
		case err != nil:
			return nil, http.StatusBadRequest, ""
		}
		if inWindow += n; inWindow >= windowBytes {
			inWindow = 0
			ls.extendRead(ctl)
		}
	}
}

// growTo returns the next capacity of a body's buffer: twice the present one, but no
// more than the announced length or one byte over the limit.
func growTo(have, announced, limit int64) int64 {
	size := min(2*have, limit+1)
	if announced > have {
		size = min(size, announced)
	}
	return max(size, have+1)
}

// refuse responds to a request that is not handled and closes its connection.
func (ls *Listener) refuse(wr http.ResponseWriter, req *http.Request, status int, rs Reason) {
	text := "body is broken off"
	if rs != "" {
		ls.count(rs, req.RemoteAddr)
		text = refusalTexts[rs]
	}
	header := wr.Header()
	header.Set("Connection", "close")
	header.Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.Itoa(retryAfter))
	}
	if ls.OnRefusal != nil {
		ls.OnRefusal(header)
	}
	wr.WriteHeader(status)
	outcome := ""
	if ls.Outcome != nil {
		outcome = `"outcome":"` + ls.Outcome(status) + `",`
	}
	_, _ = io.WriteString(wr, `{`+outcome+`"reason":"`+text+`"}`+"\n")
	ctl := http.NewResponseController(wr)
	if ctl.Flush() != nil || req.Body == nil {
		return
	}
	_ = ctl.SetReadDeadline(ls.Process.settings.Clock.Now().Add(drainTime))
	var buf [2 << 10]byte
	for left := drainBytes; left > 0; {
		n, err := req.Body.Read(buf[:])
		if left -= n; err != nil {
			return
		}
	}
}

var refusalTexts = map[Reason]string{
	Bytes:    "too many bytes of requests in flight; nothing was run",
	SlowBody: "body arrives too slowly; nothing was run",
	Body:     "body is too large; nothing was run",
	Fields:   "body has too many values or is nested too deeply; nothing was run",
}

// readBody is a body that has been read.
type readBody struct {
	bytes.Reader
	text []byte
}

// Close implements io.Closer.
func (*readBody) Close() error { return nil }

// ReadBody returns a request's body of at most limit bytes. It copies nothing if the
// request came through a Listener. The error is of KindTooLarge if the body is longer.
func ReadBody(req *http.Request, limit int64) ([]byte, error) {
	var text []byte
	if bd, ok := req.Body.(*readBody); ok {
		text = bd.text
	} else {
		var err error
		if text, err = io.ReadAll(io.LimitReader(req.Body, limit+1)); err != nil {
			return nil, err
		}
	}
	if int64(len(text)) > limit {
		return nil, &Error{Op: "over " + strconv.FormatInt(limit, 10) + " bytes", Kind: KindTooLarge}
	}
	return text, nil
}
