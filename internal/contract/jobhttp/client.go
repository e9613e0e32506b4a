package jobhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/common/errkind"
	"greengageweir/internal/common/strictjson"
	"greengageweir/internal/contract/jobapi"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindUnreachable Kind = "no process answers"
	KindFormat      Kind = "unreadable answer"
	KindRefused     Kind = "refused"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// retryPause is the pause after all addresses were tried.
const retryPause = 150 * time.Millisecond

// Client calls any of several processes. All calls are idempotent, so it retries
// until one process gives a definite answer or the context is done.
type Client struct {
	// Addrs holds the addresses as host:port.
	Addrs []string
	// Key is the key of a team for calls about jobs; empty sends none.
	Key auth.Key
}

// Do sends a body as JSON and returns the decoded answer and its text. An outcome
// that no retry can change is an error of KindRefused.
func (cl *Client) Do(ctx context.Context, method, path string, body any) (Response, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		// A catalog holds keys.
		return Response{}, nil, &Error{Op: path, Kind: KindFormat, Err: strictjson.Redact(err)}
	}
	var lastErr error = &Error{Op: path, Kind: KindUnreachable}
	mayHaveRun := false // an earlier attempt may have had an effect
	for {
		for _, addr := range cl.Addrs {
			ans, text, err := cl.callOnce(ctx, method, addr, path, data)
			switch {
			case err != nil:
				mayHaveRun = true
				lastErr = &Error{Op: path + " at " + addr, Kind: KindUnreachable, Err: err}
			case ans.Outcome == jobapi.Unavailable || ans.Outcome == jobapi.Unknown || ans.Outcome == jobapi.Refused:
				mayHaveRun = mayHaveRun || ans.Outcome == jobapi.Unknown
				lastErr = &Error{Op: path + " at " + addr, Kind: KindUnreachable, Err: errors.New(ans.Reason)}
			case ans.Outcome != jobapi.OK && ans.Outcome != "":
				reason := string(ans.Outcome) + " " + ans.Reason
				if mayHaveRun && method != http.MethodGet {
					reason += " (an earlier attempt may have had an effect)"
				}
				return ans, text, &Error{Op: path, Kind: KindRefused, Err: errors.New(reason)}
			default:
				return ans, text, nil
			}
		}
		select {
		case <-ctx.Done():
			return Response{}, nil, lastErr
		case <-time.After(retryPause):
		}
	}
}

// callTimeout is the time limit for one process before the next is tried.
const callTimeout = 2 * time.Second

func (cl *Client) callOnce(ctx context.Context, method, addr, path string, data []byte) (Response, []byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(callCtx, method, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return Response{}, nil, err
	}
	if cl.Key != "" {
		req.Header.Set(echo.HeaderAuthorization, bearerPrefix+string(cl.Key))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Response{}, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return Response{}, nil, err
	}
	var ans Response
	if err := json.Unmarshal(text, &ans); err != nil {
		return Response{}, nil, err
	}
	return ans, text, nil
}
