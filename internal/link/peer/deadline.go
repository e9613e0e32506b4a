package peer

import (
	"net"
	"time"
)

// deadlineConn sets a deadline for each read and write, so that the link is closed
// if the peer stops reading or sending.
type deadlineConn struct {
	net.Conn
}

func newDeadlineConn(conn net.Conn) net.Conn { return &deadlineConn{Conn: conn} }

// Read implements net.Conn with a deadline for each call.
func (dc *deadlineConn) Read(buf []byte) (int, error) {
	if err := dc.Conn.SetReadDeadline(time.Now().Add(LinkTimeout)); err != nil { //nolint:forbidigo // socket deadline
		return 0, err
	}
	return dc.Conn.Read(buf)
}

// Write implements net.Conn with a deadline for each call.
func (dc *deadlineConn) Write(buf []byte) (int, error) {
	if err := dc.Conn.SetWriteDeadline(time.Now().Add(LinkTimeout)); err != nil { //nolint:forbidigo // socket deadline
		return 0, err
	}
	return dc.Conn.Write(buf)
}
