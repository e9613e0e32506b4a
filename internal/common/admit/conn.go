package admit

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// transferWindow is the time within which a client must send the bytes of a body
	// that the minimum rate asks for, or its end. At the default rate this is 5 KiB,
	// for which the callers' slowest documented link, of 2 Mbit/s, needs 20 ms.
	transferWindow = 5 * time.Second
	// writeWindow is the time within which a client must take the bytes of a response
	// that the minimum rate asks for; 8 KiB, more than net/http writes at a time.
	writeWindow = 8 * time.Second
	// writeSlack saves a change of the deadline for writes that follow each other
	// within this time.
	writeSlack = time.Second
	// addressDivisor is the divisor of a listener's connections that one address may
	// always use, so that four load balancers can use all of them.
	addressDivisor = 4
)

// slots counts a listener's connections.
type slots struct {
	mu        sync.Mutex
	open      int
	byAddress map[string]int
}

// take takes a slot for a connection from an address. An address may hold as many
// connections as are left free, but always a quarter of all.
func (sl *slots) take(limit int, addr string) (Reason, bool) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.open >= limit {
		return Connections, false
	}
	if sl.byAddress[addr] >= max(limit/addressDivisor, limit-sl.open) {
		return Address, false
	}
	sl.open++
	sl.byAddress[addr]++
	return "", true
}

func (sl *slots) free(addr string) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.open--
	if sl.byAddress[addr]--; sl.byAddress[addr] == 0 {
		delete(sl.byAddress, addr)
	}
}

// limitedListener accepts connections within a Listener's limits and closes others.
type limitedListener struct {
	net.Listener
	ls *Listener
}

// Accept implements net.Listener.
func (ll *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := ll.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(raw.RemoteAddr().String())
		if err != nil {
			host = raw.RemoteAddr().String()
		}
		if rs, ok := ll.ls.slots.take(ll.ls.Connections, host); !ok {
			ll.ls.count(rs, host)
			_ = raw.Close()
			continue
		}
		return &conn{Conn: raw, ls: ll.ls, host: host}, nil
	}
}

// The phases of a connection.
const (
	phaseIdle int32 = iota
	phaseHeader
	phaseRequest
)

// conn is an accepted connection. It bounds the duration of writes and frees its slot
// when it is closed.
type conn struct {
	net.Conn
	ls     *Listener
	host   string
	phase  atomic.Int32
	closed atomic.Bool
	// writeUntil is the deadline for writes, in nanoseconds since the Unix epoch.
	writeUntil atomic.Int64
}

// Read implements net.Conn. It counts timeouts within a request's header.
func (cn *conn) Read(buf []byte) (int, error) {
	n, err := cn.Conn.Read(buf)
	if n > 0 {
		cn.phase.CompareAndSwap(phaseIdle, phaseHeader)
	}
	if err != nil && cn.phase.Load() == phaseHeader && errors.Is(err, os.ErrDeadlineExceeded) {
		cn.phase.Store(phaseIdle)
		cn.ls.count(SlowHeader, cn.host)
	}
	return n, err
}

// Write implements net.Conn. Each writeWindow, the client must take what the minimum
// rate asks for.
func (cn *conn) Write(buf []byte) (int, error) {
	written := 0
	piece := cn.ls.Process.settings.MinRate * int(writeWindow/time.Second)
	for {
		now := cn.ls.Process.settings.Clock.Now()
		if cn.writeUntil.Load()-now.UnixNano() < int64(writeWindow) {
			until := now.Add(writeWindow + writeSlack)
			cn.writeUntil.Store(until.UnixNano())
			if err := cn.Conn.SetWriteDeadline(until); err != nil {
				return written, err
			}
		}
		n, err := cn.Conn.Write(buf[:min(len(buf), piece)])
		written += n
		buf = buf[n:]
		if errors.Is(err, os.ErrDeadlineExceeded) {
			cn.ls.count(SlowReader, cn.host)
		}
		if err != nil || len(buf) == 0 {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn. net/http clears the deadline after each
// request; Write sets it by itself.
func (cn *conn) SetWriteDeadline(time.Time) error { return nil }

// CloseWrite closes the sending side; net/http does so before it closes a connection
// whose client may still be sending.
func (cn *conn) CloseWrite() error {
	if cw, ok := cn.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (cn *conn) Close() error {
	if cn.closed.CompareAndSwap(false, true) {
		cn.ls.slots.free(cn.host)
	}
	return cn.Conn.Close()
}
