// Package platform implements the client of the platform that owns the machines.
// It calls POST /v1/instances/<instance>/reboot with a JSON body. A repeated
// operation id has no further effect.
//
// Usage:
//
//	cl := &platform.Client{Addrs: map[weir.Zone]string{"*": "127.0.0.1:9100"}}
//	err := cl.Reboot(ctx, "zone-a", "instance-01", "wave1/instance-01/77")
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"greengageweir/internal/common/errkind"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindNoAddress Kind = "no platform address for the zone"
	KindFailed    Kind = "platform call failed"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// AnyZone is the key of the address for zones without an address of their own.
const AnyZone weir.Zone = "*"

const callTimeout = 5 * time.Second

// RebootRequest is the body of a reboot request.
type RebootRequest struct {
	Operation string `json:"operation"`
}

// Client calls the platform.
type Client struct {
	Addrs map[weir.Zone]string
	HTTP  http.Client
}

// Reboot requests the reboot of an instance. It returns an error of KindNoAddress
// or KindFailed.
func (cl *Client) Reboot(ctx context.Context, zone weir.Zone, inst weir.InstanceID, operation string) error {
	addr, ok := cl.Addrs[zone]
	if !ok {
		addr, ok = cl.Addrs[AnyZone]
	}
	if !ok {
		return &Error{Op: "reboot " + string(inst), Kind: KindNoAddress}
	}
	body, err := json.Marshal(RebootRequest{Operation: operation})
	if err != nil {
		return &Error{Op: "reboot " + string(inst), Kind: KindFailed, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := "http://" + addr + "/v1/instances/" + string(inst) + "/reboot"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: "reboot " + string(inst), Kind: KindFailed, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := cl.HTTP.Do(req)
	if err != nil {
		return &Error{Op: "reboot " + string(inst), Kind: KindFailed, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &Error{Op: "reboot " + string(inst) + ": " + resp.Status, Kind: KindFailed}
	}
	return nil
}
