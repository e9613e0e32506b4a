package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/contract/operator"

	"github.com/google/uuid"
)

// controlFlags are the flags of commands that send requests to the control
// processes.
type controlFlags struct {
	Controls  []string      `long:"control" env:"WEIR_CONTROL_OPS" env-delim:"," required:"true" description:"Operators' address of a control process; repeat for each"`
	TokenFile string        `long:"token-file" env:"WEIR_TOKEN_FILE" required:"true" description:"File with the operator's token"`
	Output    string        `long:"output" env:"WEIR_OUTPUT" default:"table" choice:"table" choice:"json" description:"Output format"`
	Timeout   time.Duration `long:"timeout" env:"WEIR_TIMEOUT" default:"20s" description:"Time limit of a request, including retries"`
}

// newClient returns a client and a context that ends after the timeout.
func (rm *controlFlags) newClient() (*operator.Client, context.Context, context.CancelFunc, error) {
	token, err := auth.LoadToken(rm.TokenFile)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), rm.Timeout)
	cl := &operator.Client{Addrs: rm.Controls, Token: token}
	return cl, ctx, cancel, nil
}

// getAndPrint requests a value and prints it, as JSON or with the given function.
func getAndPrint[T any](rm *controlFlags, path string, print func(val T)) error {
	cl, ctx, cancel, err := rm.newClient()
	if err != nil {
		return err
	}
	defer cancel()
	var val T
	if err := retryUnreachable(ctx, func() error { return cl.Get(ctx, path, &val) }); err != nil {
		return err
	}
	return rm.printValue(val, func() { print(val) })
}

// printValue prints a value as JSON or with the given function.
func (rm *controlFlags) printValue(val any, print func()) error {
	if rm.Output == "json" {
		return printJSON(val)
	}
	print()
	return nil
}

// sendCommand sends a request until a control process responds. Sending it again
// is safe: a request id that was already processed returns the first response.
func (rm *controlFlags) sendCommand(path string, body any) error {
	cl, ctx, cancel, err := rm.newClient()
	if err != nil {
		return err
	}
	defer cancel()
	return retryUnreachable(ctx, func() error {
		ans, err := cl.SendCommand(ctx, path, body)
		if err != nil {
			return err
		}
		return rm.printValue(ans, func() {
			if ans.ConfigNumber > 0 {
				fmt.Printf("accepted as configuration %d (log index %d)\n", ans.ConfigNumber, ans.Index)
				return
			}
			fmt.Printf("accepted (log index %d)\n", ans.Index)
		})
	})
}

const retryInterval = 200 * time.Millisecond

// retryUnreachable repeats a call while no control process responds.
func retryUnreachable(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil || !operator.IsUnreachable(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryInterval):
		}
	}
}

// requestIDFlags is the flag with the request id of a command that makes a change.
type requestIDFlags struct {
	RequestID string `long:"request-id" description:"Request id, with which the request may be sent again; generated if not given"`
}

// ensureRequestID returns the request id. If none was given, it generates one and
// prints it to standard error.
func (id *requestIDFlags) ensureRequestID() string {
	if id.RequestID == "" {
		id.RequestID = uuid.NewString()
		fmt.Fprintln(os.Stderr, "request id:", id.RequestID)
	}
	return id.RequestID
}

func printJSON(val any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(val)
}

// printTable prints rows in aligned columns. Words of the header are the column
// names.
func printTable(header string, rows [][]string) {
	tab := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(tab, strings.Join(row, "\t"))
	}
	_ = tab.Flush()
}
