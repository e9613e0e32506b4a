package peer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/errkind"
)

const testToken = "a-token-of-the-test"

func startServer(t *testing.T, handle Handler) *Server {
	sv := &Server{Addr: "127.0.0.1:0", Token: testToken, Handle: handle}
	require.NoError(t, sv.Default())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = sv.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return sv
}

func startClient(t *testing.T, addr, token string) *Client {
	cl := &Client{Addr: addr, Token: token, Self: Identity{ID: "e1"}}
	require.NoError(t, cl.Default())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cl.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return cl
}

func echo(_ context.Context, call Call) (any, error) {
	if call.Method != "echo" {
		return nil, MethodNotFound(call.Method)
	}
	var text string
	if err := call.Decode(&text); err != nil {
		return nil, err
	}
	return call.From.ID + ":" + text, nil
}

func TestCall(t *testing.T) {
	cl := startClient(t, startServer(t, echo).Address(), testToken)
	require.Eventually(t, cl.Connected, 5*time.Second, time.Millisecond)
	var got string
	require.NoError(t, cl.Call(context.Background(), "echo", "hi", &got))
	require.Equal(t, "e1:hi", got)
	require.True(t, errkind.Is(cl.Call(context.Background(), "nothing", 1, nil), KindRemote))
	require.True(t, errkind.Is(cl.Call(context.Background(), "echo", 1, nil), KindRemote), "wrong type")
}

func TestWrongTokenIsRefused(t *testing.T) {
	called := atomic.Bool{}
	sv := startServer(t, func(context.Context, Call) (any, error) { called.Store(true); return nil, nil })
	cl := startClient(t, sv.Address(), "another-token-entirely")
	time.Sleep(200 * time.Millisecond)
	require.False(t, cl.Connected())
	require.False(t, called.Load())
	require.True(t, errkind.Is(cl.Call(context.Background(), "echo", "hi", nil), KindNotSent))
}

func TestOversizedFrameClosesLink(t *testing.T) {
	sv := startServer(t, echo)
	conn, err := net.Dial("tcp", sv.Address())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte{0xff, 0xff, 0xff, 0xff, '{'})
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(clock.System{}.Now().Add(5*time.Second)))
	_, err = io.ReadAll(conn)
	require.NoError(t, err, "the server closes the connection")
}

// TestFrameBeforeHandshake guards against a client without the token that makes the
// server hold a frame as large as those between processes.
func TestFrameBeforeHandshake(t *testing.T) {
	sv := startServer(t, echo)
	conn, err := net.Dial("tcp", sv.Address())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, (&frameCodec{}).WriteObject(conn, map[string]any{
		"jsonrpc": "2.0", "id": 1, "method": methodHello,
		"params": hello{Version: ProtocolVersion, Token: testToken, Self: Identity{ID: strings.Repeat("a", maxHelloBytes)}},
	}))
	reply, err := io.ReadAll(io.LimitReader(conn, 1))
	require.True(t, err != nil || len(reply) == 0, "the handshake is not answered: %q, %v", reply, err)
}

// TestAnnouncedFrameReservesNothing guards against memory that is reserved for a frame
// of which only the length has arrived, and against frames of several steps that are
// read wrong.
func TestAnnouncedFrameReservesNothing(t *testing.T) {
	rd, wr := io.Pipe()
	go func() {
		_, _ = wr.Write([]byte{0x02, 0, 0, 0, '{'})
		_ = wr.Close()
	}()
	codec := &frameCodec{maxRead: maxFrameBytes}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var got any
	require.Error(t, codec.ReadObject(bufio.NewReader(rd), &got))
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))

	for _, size := range []int{0, 1, frameStep - 2, frameStep - 1, 5 * frameStep} {
		var buf bytes.Buffer
		text := strings.Repeat("a", size)
		require.NoError(t, codec.WriteObject(&buf, text))
		var read string
		require.NoError(t, codec.ReadObject(bufio.NewReader(&buf), &read))
		require.Equal(t, text, read)
	}
}

// TestSilentLinkIsReplaced puts a proxy between client and server that stops
// forwarding without closing a connection. The client must notice the missing
// heartbeats and dial again.
func TestSilentLinkIsReplaced(t *testing.T) {
	sv := startServer(t, echo)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	var silent atomic.Bool
	var accepted atomic.Int32
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			first := accepted.Add(1) == 1
			far, err := net.Dial("tcp", sv.Address())
			if err != nil {
				return
			}
			go forward(conn, far, func() bool { return first && silent.Load() })
			go forward(far, conn, func() bool { return first && silent.Load() })
		}
	}()
	cl := startClient(t, lis.Addr().String(), testToken)
	require.Eventually(t, cl.Connected, 5*time.Second, time.Millisecond)
	silent.Store(true)
	require.Eventually(t, func() bool { return accepted.Load() == 2 && cl.Connected() }, 10*time.Second, 10*time.Millisecond)
	var got string
	require.NoError(t, cl.Call(context.Background(), "echo", "again", &got))
}

func forward(from, to net.Conn, silent func() bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if !silent() {
			_, _ = to.Write(buf[:n])
		}
	}
}
