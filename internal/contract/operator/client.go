package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"greengageweir/internal/duty/errkind"
	"greengageweir/internal/fleet/command"

	"github.com/pkg/errors"
)

// Kind tells the errors of this package apart.
type Kind string

// The kinds of errors.
const (
	// KindUnreachable says that no control process answered. A request with
	// an id may have been carried out; sending it again is safe.
	KindUnreachable Kind = "no control process answered"
	// KindRefused says that the request was understood and refused.
	KindRefused Kind = "refused"
	KindAnswer  Kind = "answer not understood"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const maxAnswerBytes = 64 << 20

// Client calls the control processes in turn until one answers.
type Client struct {
	Addrs []string
	Token string
	HTTP  http.Client
}

// SendCommand sends a request that the state machine answers.
func (cl *Client) SendCommand(ctx context.Context, path string, body any) (command.Result, error) {
	var ans command.Result
	err := cl.do(ctx, http.MethodPost, path, body, &ans)
	return ans, err
}

// Get reads a value.
func (cl *Client) Get(ctx context.Context, path string, into any) error {
	return cl.do(ctx, http.MethodGet, path, nil, into)
}

// Put sends a request without a body.
func (cl *Client) Put(ctx context.Context, path string, into any) error {
	return cl.do(ctx, http.MethodPut, path, nil, into)
}

func (cl *Client) do(ctx context.Context, method, path string, body, into any) error {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return &Error{Op: path, Kind: KindAnswer, Err: err}
		}
	}
	var last error = errors.New("no address given")
	for _, addr := range cl.Addrs {
		again, err := cl.try(ctx, method, "http://"+addr+path, payload, into)
		if !again {
			return err
		}
		last = err
	}
	return &Error{Op: path, Kind: KindUnreachable, Err: last}
}

// try calls one control process and reports whether another should be tried.
func (cl *Client) try(ctx context.Context, method, url string, payload []byte, into any) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(payload))
	if err != nil {
		return false, &Error{Op: url, Kind: KindAnswer, Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+cl.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := cl.HTTP.Do(req)
	if err != nil {
		return true, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return true, err
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout {
		return true, errors.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(answer)))
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return false, &Error{Op: method + " " + url, Kind: KindRefused, Err: refusalOf(resp.Status, answer)}
	}
	if into == nil {
		return false, nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return false, &Error{Op: url, Kind: KindAnswer, Err: err}
	}
	return false, nil
}

// refusalOf reads the refusal out of an answer, where it holds one.
func refusalOf(status string, answer []byte) error {
	var ans command.Result
	if json.Unmarshal(answer, &ans) == nil && ans.Refusal != nil {
		return errors.Errorf("%s: %s", ans.Refusal.Kind, ans.Refusal.Message)
	}
	return errors.Errorf("%s: %s", status, strings.TrimSpace(string(answer)))
}

// IsUnreachable reports whether no control process answered.
func IsUnreachable(err error) bool { return errkind.Is(err, KindUnreachable) }
