package admit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve starts a server with limits and returns its address and the number of
// requests that reached the handler.
func serve(t *testing.T, ls *Listener) (string, *atomic.Int64) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handled := &atomic.Int64{}
	server := &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		handled.Add(1)
		body, err := ReadBody(req, 1<<20)
		require.NoError(t, err)
		_, _ = fmt.Fprint(wr, len(body))
	}), ReadHeaderTimeout: time.Second}
	lis = ls.Attach(server, lis)
	go func() { _ = server.Serve(lis) }()
	t.Cleanup(func() { _ = server.Close() })
	return lis.Addr().String(), handled
}

func post(t *testing.T, addr, body string) *http.Response {
	resp, err := http.Post("http://"+addr, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp
}

// open connects and sends part of a request.
func open(t *testing.T, addr, text string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// TestBodyOverLimit guards against a handler that runs with part of a body.
func TestBodyOverLimit(t *testing.T) {
	ls := &Listener{Process: New(Settings{}), Name: "t", Connections: 10, MaxBody: 1000}
	addr, handled := serve(t, ls)
	require.Equal(t, http.StatusOK, post(t, addr, strings.Repeat("a", 1000)).StatusCode)
	require.Equal(t, http.StatusRequestEntityTooLarge, post(t, addr, strings.Repeat("a", 1001)).StatusCode)
	conn := open(t, addr, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n"+strings.Repeat("a", 1001))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.Equal(t, int64(1), handled.Load())
	require.Eventually(t, func() bool { return ls.Process.InUse() == 0 }, time.Minute, time.Millisecond)
}

// TestStalledBodiesUseBudget guards against bodies whose end does not come holding
// more than the budget, and against their refusing ordinary requests.
func TestStalledBodiesUseBudget(t *testing.T) {
	ls := &Listener{Process: New(Settings{BodyBytes: 1 << 20}), Name: "t", Connections: 100, MaxBody: 256 << 10}
	addr, handled := serve(t, ls)
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 256<<10)
	for range 2 {
		open(t, addr, head+strings.Repeat("a", 250<<10))
	}
	require.Eventually(t, func() bool { return ls.Process.InUse() == 2*256<<10 }, time.Minute, time.Millisecond)
	resp := post(t, addr, strings.Repeat("a", 200<<10))
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "1", resp.Header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, post(t, addr, strings.Repeat("a", 1<<10)).StatusCode)
	require.Equal(t, int64(1), handled.Load())
}

// TestAnnouncedLengthReservesNothing guards against reserving by Content-Length, which
// a client can announce without sending anything.
func TestAnnouncedLengthReservesNothing(t *testing.T) {
	ls := &Listener{Process: New(Settings{BodyBytes: 1 << 20}), Name: "t", Connections: 100, MaxBody: 256 << 10}
	addr, _ := serve(t, ls)
	for range 20 {
		open(t, addr, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n{", 256<<10))
	}
	require.Eventually(t, func() bool { return ls.Process.InUse() == 20*startBytes }, time.Minute, time.Millisecond)
}

// TestConnectionShares guards against one address that takes all connections, and
// against slots that are not freed.
func TestConnectionShares(t *testing.T) {
	sl := &slots{byAddress: map[string]int{}}
	take := func(addr string, want int) {
		got := 0
		for range 200 {
			if _, ok := sl.take(100, addr); ok {
				got++
			}
		}
		require.Equal(t, want, got)
	}
	take("a", 50)
	take("b", 25)
	take("c", 25)
	rs, ok := sl.take(100, "d")
	require.False(t, ok)
	require.Equal(t, Connections, rs)
	for range 50 {
		sl.free("a")
	}
	require.NotContains(t, sl.byAddress, "a")
	take("d", 25)
}

// TestStalledBodyIsClosed guards against a body that stalls for good, and against a
// rate that only counts from the start of the body.
func TestStalledBodyIsClosed(t *testing.T) {
	ls := &Listener{Process: New(Settings{}), Name: "t", Connections: 10, MaxBody: 1 << 20}
	addr, handled := serve(t, ls)
	conn := open(t, addr, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("a", 400000))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.Zero(t, handled.Load())
}

// TestUnreadResponsesAreClosed guards against a client that pipelines requests and
// reads no response: its connection is closed, and not all of its requests are run.
func TestUnreadResponsesAreClosed(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ls := &Listener{Process: New(Settings{}), Name: "slow", Connections: 10}
	server := &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = wr.Write(make([]byte, 1<<20))
	})}
	lis = ls.Attach(server, lis)
	go func() { _ = server.Serve(lis) }()
	defer server.Close()
	before := ls.counters[SlowReader].Get()
	open(t, lis.Addr().String(), strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 100))
	require.Eventually(t, func() bool { return ls.counters[SlowReader].Get() == before+1 }, time.Minute, 10*time.Millisecond)
}

// TestHalfSentHeaderIsCounted guards against connections that are held by a header
// without an end.
func TestHalfSentHeaderIsCounted(t *testing.T) {
	ls := &Listener{Process: New(Settings{}), Name: "header", Connections: 10}
	addr, _ := serve(t, ls)
	conn := open(t, addr, "GET / HTTP/1.1\r\nHost: a\r\nX: ")
	_, _ = io.Copy(io.Discard, conn)
	require.Equal(t, uint64(1), ls.counters[SlowHeader].Get())
}

// TestHandlerOutlastsWindow guards against a read deadline that is left set while the
// handler runs: net/http then cancels the request.
func TestHandlerOutlastsWindow(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ls := &Listener{Process: New(Settings{}), Name: "long", Connections: 10}
	server := &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		select {
		case <-req.Context().Done():
			wr.WriteHeader(http.StatusInternalServerError)
		case <-time.After(transferWindow + time.Second):
		}
	})}
	lis = ls.Attach(server, lis)
	go func() { _ = server.Serve(lis) }()
	defer server.Close()
	require.Equal(t, http.StatusOK, post(t, lis.Addr().String(), "{}").StatusCode)
}

// TestMeasure guards against documents that take far more memory once decoded, and
// against refusing the largest legal documents.
func TestMeasure(t *testing.T) {
	pr := New(Settings{})
	for name, tc := range map[string]struct {
		text string
		ok   bool
	}{
		"deepest":          {strings.Repeat("[", 16) + strings.Repeat("]", 16), true},
		"too deep":         {strings.Repeat("[", 17) + strings.Repeat("]", 17), false},
		"many values":      {"[" + strings.Repeat("1,", 99_998) + "1]", true},
		"too many values":  {"[" + strings.Repeat("1,", 100_001) + "1]", false},
		"many objects":     {"[" + strings.Repeat("{},", 16_000) + "{}]", true},
		"too many objects": {"[" + strings.Repeat("{},", 17_000) + "{}]", false},
		"in a string":      {`"` + strings.Repeat(`[\"{,`, 100_000) + `"`, true},
		"escaped":          {`["\\",` + strings.Repeat("{},", 17_000) + `"\""]`, false},
		"unended string":   {`"abc\"`, true},
		"not JSON":         {`}}}]]]`, true},
	} {
		_, ok := pr.measure([]byte(tc.text))
		require.Equal(t, tc.ok, ok, name)
	}
	type step struct {
		Count int    `json:"count"`
		After []int  `json:"after"`
		Image string `json:"image"`
	}
	var steps []step
	for no := range 256 {
		st := step{Count: 39, Image: "i"}
		for before := range no {
			st.After = append(st.After, before)
		}
		steps = append(steps, st)
	}
	text, err := json.Marshal(map[string]any{"spec": strings.Repeat("a", 4000), "steps": steps})
	require.NoError(t, err)
	sh, ok := pr.measure(text)
	require.True(t, ok)
	require.Less(t, sh.decodedSize(), New(Settings{MemoryMB: 96}).settings.BodyBytes/4*largeShare)
}

// BenchmarkMeasure measures the pass over an ordinary job.
func BenchmarkMeasure(b *testing.B) {
	text := []byte(`{"text":"some text","steps":[{"count":3,"milliCpu":500,"memoryMb":100,"estimateMillis":1200,"after":[]},{"count":1,"after":[0]}]}`)
	pr := New(Settings{})
	for b.Loop() {
		pr.measure(text)
	}
}
