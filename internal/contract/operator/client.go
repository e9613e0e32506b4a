package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/fleet/command"

	"github.com/pkg/errors"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindUnreachable means that no control process responded. A request with
	// an id may have been carried out. Repeating it is safe.
	KindUnreachable Kind = "no control process answered"
	// KindRefused means that the request was processed and refused.
	KindRefused Kind = "refused"
	// KindBadResponse means that the request could not be built or the response
	// could not be decoded.
	KindBadResponse Kind = "answer not understood"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const maxAnswerBytes = 64 << 20

// Client calls the control processes in turn until one responds.
type Client struct {
	Addrs []string
	Token string
	HTTP  http.Client
}

// SendCommand posts a request that becomes a command, and returns its result.
func (cl *Client) SendCommand(ctx context.Context, path string, body any) (command.Result, error) {
	var ans command.Result
	err := cl.do(ctx, http.MethodPost, path, body, &ans)
	return ans, err
}

// Get sends a GET request and decodes the response.
func (cl *Client) Get(ctx context.Context, path string, into any) error {
	return cl.do(ctx, http.MethodGet, path, nil, into)
}

// Put sends a PUT request without a body and decodes the response.
func (cl *Client) Put(ctx context.Context, path string, into any) error {
	return cl.do(ctx, http.MethodPut, path, nil, into)
}

func (cl *Client) do(ctx context.Context, method, path string, body, into any) error {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return &Error{Op: path, Kind: KindBadResponse, Err: err}
		}
	}
	var last error = errors.New("no address given")
	for _, addr := range cl.Addrs {
		again, err := cl.tryURL(ctx, method, "http://"+addr+path, payload, into)
		if !again {
			return err
		}
		last = err
	}
	return &Error{Op: path, Kind: KindUnreachable, Err: last}
}

// tryURL calls one control process. It reports whether to try the next one.
func (cl *Client) tryURL(ctx context.Context, method, url string, payload []byte, into any) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(payload))
	if err != nil {
		return false, &Error{Op: url, Kind: KindBadResponse, Err: err}
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
		return false, &Error{Op: method + " " + url, Kind: KindRefused, Err: refusalError(resp.Status, answer)}
	}
	if into == nil {
		return false, nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return false, &Error{Op: url, Kind: KindBadResponse, Err: err}
	}
	return false, nil
}

// refusalError returns the refusal in a response, or else its status and body.
func refusalError(status string, answer []byte) error {
	var ans command.Result
	if json.Unmarshal(answer, &ans) == nil && ans.Refusal != nil {
		return errors.Errorf("%s: %s", ans.Refusal.Kind, ans.Refusal.Message)
	}
	return errors.Errorf("%s: %s", status, strings.TrimSpace(string(answer)))
}

// IsUnreachable reports whether an error means that no control process responded.
func IsUnreachable(err error) bool { return errkind.Is(err, KindUnreachable) }
