package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"greengageweir/internal/config/file"
	"greengageweir/internal/config/model"
	"greengageweir/internal/contract/operator"
	"greengageweir/internal/fleet/fsm"

	"github.com/pkg/errors"

	weir "greengageweir"
)

// folder is the flag of commands that read configuration files.
type folder struct {
	Dir string `long:"dir" default:"." description:"Folder with base.yaml and overlays/"`
}

func (fo *folder) load() (model.Config, error) { return file.LoadFolder(fo.Dir) }

type configInit struct{ folder }

// Execute implements flags.Commander.
func (ci *configInit) Execute([]string) error {
	overlays := filepath.Join(ci.Dir, "overlays")
	if err := os.MkdirAll(overlays, 0o750); err != nil {
		return err
	}
	if err := writeNew(filepath.Join(ci.Dir, "base.yaml"), file.SampleBase); err != nil {
		return err
	}
	return writeNew(filepath.Join(overlays, "north.yaml"), file.SampleOverlay)
}

// writeNew writes a file that must not exist yet.
func writeNew(path, text string) error {
	out, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640) //nolint:gosec // path from a flag
	if err != nil {
		return err
	}
	if _, err := out.WriteString(text); err != nil {
		return err
	}
	fmt.Println("wrote", path)
	return out.Close()
}

type configCheck struct {
	folder
	Base     string   `long:"base" description:"Base file, in place of --dir"`
	Overlays []string `long:"overlay" description:"Overlay; repeat for each"`
}

// Execute implements flags.Commander.
func (cc *configCheck) Execute([]string) error {
	var cfg model.Config
	var err error
	if cc.Base != "" {
		cfg, err = file.Load(cc.Base, cc.Overlays)
	} else {
		cfg, err = cc.load()
	}
	if err != nil {
		return err
	}
	fmt.Printf("ok: %d sites, %d pools, %d instances, checksum %s\n", len(cfg.Sites), len(cfg.Pools), len(cfg.Instances), cfg.Checksum())
	return nil
}

type configSchema struct{}

// Execute implements flags.Commander.
func (cs *configSchema) Execute([]string) error {
	fmt.Print(file.Schema)
	return nil
}

type configDiff struct {
	remote
	folder
}

// Execute implements flags.Commander.
func (cd *configDiff) Execute([]string) error {
	cfg, err := cd.load()
	if err != nil {
		return err
	}
	cl, ctx, cancel, err := cd.client()
	if err != nil {
		return err
	}
	defer cancel()
	var now operator.ConfigResponse
	if err := retryUnreachable(ctx, func() error { return cl.Get(ctx, "/v1/config", &now) }); err != nil {
		return err
	}
	delta := model.Diff(now.Config, cfg)
	if delta.Empty() {
		fmt.Fprintln(os.Stderr, "no difference from configuration", now.Number)
		return nil
	}
	return printJSON(delta)
}

type configRender struct {
	folder
	Site string `long:"site" required:"true" description:"Site to show"`
}

// Execute implements flags.Commander.
func (cr *configRender) Execute([]string) error {
	cfg, err := cr.load()
	if err != nil {
		return err
	}
	if _, ok := cfg.Sites[weir.Zone(cr.Site)]; !ok {
		return errors.Errorf("no site is named %s", cr.Site)
	}
	return printJSON(cfg.ForSite(weir.Zone(cr.Site)))
}

type configApply struct {
	remote
	folder
	identified
	Expected string        `long:"expected" required:"true" description:"Number of the configuration to follow, 0 for the first"`
	Note     string        `long:"note" description:"Why; kept in the history"`
	Wait     time.Duration `long:"wait" description:"Wait until it is in force everywhere, for this long"`
}

// Execute implements flags.Commander.
func (ca *configApply) Execute([]string) error {
	cfg, err := ca.load()
	if err != nil {
		return err
	}
	expected, err := strconv.ParseUint(ca.Expected, 10, 64)
	if err != nil {
		return errors.Errorf("--expected: want a number, got %q", ca.Expected)
	}
	req := operator.ApplyConfigRequest{RequestID: ca.id(), Expected: expected, Note: ca.Note, Config: cfg}
	if err := ca.command("/v1/config", req); err != nil {
		return err
	}
	if ca.Wait == 0 {
		return nil
	}
	return waitInForce(&ca.remote, expected+1, ca.Wait)
}

type configStatus struct {
	remote
	Wait   time.Duration `long:"wait" description:"Wait until the number is in force everywhere, for this long"`
	Number uint64        `long:"number" description:"Number to wait for; the latest if not given"`
}

// Execute implements flags.Commander.
func (cs *configStatus) Execute([]string) error {
	if cs.Wait > 0 {
		if err := waitInForce(&cs.remote, cs.Number, cs.Wait); err != nil {
			return err
		}
	}
	return get(&cs.remote, "/v1/status", func(ans operator.StatusResponse) {
		fmt.Printf("configuration %d, leader %s, log index %d, moves %d\n", ans.ConfigNumber, ans.Leader, ans.Index, ans.Moves)
		rows := make([][]string, 0, len(ans.Processes))
		for _, pr := range ans.Processes {
			rows = append(rows, []string{pr.ID, string(pr.Zone), strconv.FormatUint(pr.ConfigNumber, 10), strconv.FormatBool(pr.Reporting)})
		}
		table("PROCESS ZONE NUMBER HEARD", rows)
	})
}

const waitPoll = 20 * time.Millisecond

// waitInForce waits until a number is in force at each process that is heard,
// and prints how long that took.
func waitInForce(rm *remote, number uint64, patience time.Duration) error {
	cl, _, cancel, err := rm.client()
	if err != nil {
		return err
	}
	defer cancel()
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	begin := time.Now()
	for {
		var ans operator.StatusResponse
		err := cl.Get(ctx, "/v1/status", &ans)
		want := max(number, 1)
		if number == 0 {
			want = ans.ConfigNumber
		}
		inForce, unheard := ans.InForce(want)
		if err == nil && inForce {
			fmt.Printf("configuration %d in force at %d processes after %s", want, len(ans.Processes)-len(unheard), time.Since(begin).Round(time.Millisecond))
			if len(unheard) > 0 {
				fmt.Printf(", not heard: %s", strings.Join(unheard, " "))
			}
			fmt.Println()
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("configuration %d is not in force everywhere after %s", want, patience)
		case <-time.After(waitPoll):
		}
	}
}

type configHistory struct{ remote }

// Execute implements flags.Commander.
func (ch *configHistory) Execute([]string) error {
	return get(&ch.remote, "/v1/config/history", func(list []fsm.ConfigChange) {
		rows := make([][]string, 0, len(list))
		for _, chg := range list {
			rows = append(rows, []string{
				strconv.FormatUint(chg.Number, 10), chg.At.Format(time.RFC3339), chg.Operator, chg.Checksum, chg.Note,
			})
		}
		table("NUMBER AT OPERATOR CHECKSUM NOTE", rows)
	})
}
