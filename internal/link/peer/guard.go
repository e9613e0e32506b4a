package peer

import (
	"net"
	"time"
)

// guardedConn bounds how long a write may block and how long a read may wait,
// so that a peer that stopped reading or went silent frees the link.
type guardedConn struct {
	net.Conn
}

func newGuardedConn(conn net.Conn) net.Conn { return &guardedConn{Conn: conn} }

// Read implements net.Conn with a deadline per read.
func (gc *guardedConn) Read(buf []byte) (int, error) {
	if err := gc.Conn.SetReadDeadline(time.Now().Add(LinkTimeout)); err != nil { //nolint:forbidigo // socket deadline
		return 0, err
	}
	return gc.Conn.Read(buf)
}

// Write implements net.Conn with a deadline per write.
func (gc *guardedConn) Write(buf []byte) (int, error) {
	if err := gc.Conn.SetWriteDeadline(time.Now().Add(LinkTimeout)); err != nil { //nolint:forbidigo // socket deadline
		return 0, err
	}
	return gc.Conn.Write(buf)
}
