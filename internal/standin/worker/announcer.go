package worker

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"greengageweir/internal/contract/endpoint"
)

// Announcer sends announcements for many workers through one HTTP client and
// counts the bytes sent and received.
type Announcer struct {
	worker *Worker
	addr   string
	bytes  atomic.Int64
}

// NewAnnouncer returns an Announcer that sends to the entry instance at addr.
func NewAnnouncer(addr string) *Announcer {
	an := &Announcer{addr: addr}
	dial := func(ctx context.Context, network, to string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, to)
		return &countingConn{Conn: conn, bytes: &an.bytes}, err
	}
	an.worker = &Worker{client: &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DialContext: dial}}}
	return an
}

// Announce sends one announcement.
func (an *Announcer) Announce(ctx context.Context, ann endpoint.Announcement) (endpoint.AnnounceResponse, error) {
	return an.worker.post(ctx, an.addr, ann)
}

// Bytes returns the bytes sent and received so far.
func (an *Announcer) Bytes() int64 { return an.bytes.Load() }

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (cc *countingConn) Read(buf []byte) (int, error) {
	n, err := cc.Conn.Read(buf)
	cc.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (cc *countingConn) Write(buf []byte) (int, error) {
	n, err := cc.Conn.Write(buf)
	cc.bytes.Add(int64(n))
	return n, err
}
