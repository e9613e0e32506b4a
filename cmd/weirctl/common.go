package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"greengageweir/internal/contract/operator"
	"greengageweir/internal/duty/auth"

	"github.com/google/uuid"
)

// remote are the flags of commands that call the control processes.
type remote struct {
	Controls  []string      `long:"control" env:"WEIR_CONTROL_OPS" env-delim:"," required:"true" description:"Operators' address of a control process; repeat for each"`
	TokenFile string        `long:"token-file" env:"WEIR_TOKEN_FILE" required:"true" description:"File with the operator's token"`
	Output    string        `long:"output" env:"WEIR_OUTPUT" default:"table" choice:"table" choice:"json" description:"How to print"`
	Timeout   time.Duration `long:"timeout" env:"WEIR_TIMEOUT" default:"20s" description:"How long to try"`
}

func (rm *remote) client() (*operator.Client, context.Context, context.CancelFunc, error) {
	token, err := auth.LoadToken(rm.TokenFile)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), rm.Timeout)
	cl := &operator.Client{Addrs: rm.Controls, Token: token}
	return cl, ctx, cancel, nil
}

// get reads a value and prints it, as JSON or by the given function.
func get[T any](rm *remote, path string, print func(val T)) error {
	cl, ctx, cancel, err := rm.client()
	if err != nil {
		return err
	}
	defer cancel()
	var val T
	if err := retryUnreachable(ctx, func() error { return cl.Get(ctx, path, &val) }); err != nil {
		return err
	}
	return rm.show(val, func() { print(val) })
}

func (rm *remote) show(val any, print func()) error {
	if rm.Output == "json" {
		return printJSON(val)
	}
	print()
	return nil
}

// command sends a request under its id until it is answered. Sending it again
// is safe: the first answer is given again.
func (rm *remote) command(path string, body any) error {
	cl, ctx, cancel, err := rm.client()
	if err != nil {
		return err
	}
	defer cancel()
	return retryUnreachable(ctx, func() error {
		ans, err := cl.SendCommand(ctx, path, body)
		if err != nil {
			return err
		}
		return rm.show(ans, func() {
			if ans.ConfigNumber > 0 {
				fmt.Printf("accepted as configuration %d (log index %d)\n", ans.ConfigNumber, ans.Index)
				return
			}
			fmt.Printf("accepted (log index %d)\n", ans.Index)
		})
	})
}

const retryPause = 200 * time.Millisecond

// retryUnreachable repeats a call while no control process answers.
func retryUnreachable(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil || !operator.IsUnreachable(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryPause):
		}
	}
}

// identified is the request id of a command that changes something.
type identified struct {
	RequestID string `long:"request-id" description:"Id under which the request may be sent again; made up if not given"`
}

func (id *identified) id() string {
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

// table prints rows in columns.
func table(header string, rows [][]string) {
	tab := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(tab, strings.Join(row, "\t"))
	}
	_ = tab.Flush()
}
