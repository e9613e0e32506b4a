// Package peer connects the processes of the system with each other: JSON-RPC 2.0
// over TCP with a maximum frame size, a handshake that checks the peer token, and
// heartbeats, so that an unresponsive link is closed after LinkTimeout and dialled
// again.
//
// Usage:
//
//	srv := &peer.Server{Addr: "127.0.0.1:7000", Token: token, Handle: handle}
//	cl := &peer.Client{Addr: "127.0.0.1:7000", Token: token, Self: self}
//	err := cl.Call(ctx, "view.report", params, &result)
//	errkind.Is(err, peer.KindNotSent) // the other side did not receive the request
package peer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"time"

	"greengageweir/internal/common/errkind"

	"github.com/sourcegraph/jsonrpc2"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindNotSent means that the request did not reach the other side.
	KindNotSent Kind = "not sent"
	// KindReplyLost means that the other side may have handled the request.
	KindReplyLost Kind = "reply lost"
	KindRemote    Kind = "refused by the other side"
	KindTooLarge  Kind = "frame too large"
	// KindInvalidSettings means that an address or a token is missing.
	KindInvalidSettings Kind = "not a peer"
	KindListen          Kind = "cannot listen"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// ProtocolVersion is sent in each handshake.
	ProtocolVersion = 1
	// HeartbeatInterval is the default time between heartbeats on a link.
	HeartbeatInterval = 300 * time.Millisecond
	// LinkTimeout is the timeout for each read, write and heartbeat; a link that
	// exceeds it is closed.
	LinkTimeout = 1500 * time.Millisecond
	// silentAfter is how long the reply to a heartbeat may take before the peer
	// counts as silent: a hundred times a round trip between zones.
	silentAfter = 500 * time.Millisecond

	methodHello     = "link.hello"
	methodHeartbeat = "link.beat"

	dialTimeout = 500 * time.Millisecond
	writeBuffer = 64 << 10
)

// Identity identifies a process.
type Identity struct {
	ID   string `json:"id"`
	Role string `json:"role"`
	Zone string `json:"zone"`
}

// hello is the handshake request, the first request on a link.
type hello struct {
	Version int      `json:"version"`
	Token   string   `json:"token"`
	Self    Identity `json:"self"`
}

// Call is one incoming request or notification.
type Call struct {
	From   Identity
	Method string
	Params json.RawMessage
	// Conn can be used to send notifications back on the same link.
	Conn *jsonrpc2.Conn
}

// Decode decodes the parameters of a call. It returns a JSON-RPC error for invalid
// parameters.
func (ca Call) Decode(into any) error {
	if err := json.Unmarshal(ca.Params, into); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// Handler handles calls and returns their results. Notifications are handled in
// order on the reading goroutine and must not block.
type Handler func(ctx context.Context, call Call) (any, error)

// MethodNotFound returns the JSON-RPC error for a method that a process does not
// implement.
func MethodNotFound(method string) error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + method}
}

func tokenEqual(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
