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

// configDirFlags is the flag of commands that read configuration files.
type configDirFlags struct {
	Dir string `long:"dir" default:"." description:"Folder with base.yaml and overlays/"`
}

func (fo *configDirFlags) loadConfig() (model.Config, error) { return file.LoadFolder(fo.Dir) }

type configInit struct{ configDirFlags }

// Execute implements flags.Commander.
func (ci *configInit) Execute([]string) error {
	overlays := filepath.Join(ci.Dir, "overlays")
	if err := os.MkdirAll(overlays, 0o750); err != nil {
		return err
	}
	if err := writeNewFile(filepath.Join(ci.Dir, "base.yaml"), file.SampleBase); err != nil {
		return err
	}
	return writeNewFile(filepath.Join(overlays, "north.yaml"), file.SampleOverlay)
}

// writeNewFile writes a file and fails if it exists.
func writeNewFile(path, text string) error {
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
	configDirFlags
	Base     string   `long:"base" description:"Base file, instead of --dir"`
	Overlays []string `long:"overlay" description:"Overlay file; repeat for each"`
}

// Execute implements flags.Commander.
func (cc *configCheck) Execute([]string) error {
	var cfg model.Config
	var err error
	if cc.Base != "" {
		cfg, err = file.Load(cc.Base, cc.Overlays)
	} else {
		cfg, err = cc.loadConfig()
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
	controlFlags
	configDirFlags
}

// Execute implements flags.Commander.
func (cd *configDiff) Execute([]string) error {
	cfg, err := cd.loadConfig()
	if err != nil {
		return err
	}
	cl, ctx, cancel, err := cd.newClient()
	if err != nil {
		return err
	}
	defer cancel()
	var current operator.ConfigResponse
	if err := retryUnreachable(ctx, func() error { return cl.Get(ctx, "/v1/config", &current) }); err != nil {
		return err
	}
	delta := model.Diff(current.Config, cfg)
	if delta.Empty() {
		fmt.Fprintln(os.Stderr, "no difference from configuration", current.Number)
		return nil
	}
	return printJSON(delta)
}

type configRender struct {
	configDirFlags
	Site string `long:"site" required:"true" description:"Site to show"`
}

// Execute implements flags.Commander.
func (cr *configRender) Execute([]string) error {
	cfg, err := cr.loadConfig()
	if err != nil {
		return err
	}
	if _, ok := cfg.Sites[weir.Zone(cr.Site)]; !ok {
		return errors.Errorf("no site named %s in the configuration", cr.Site)
	}
	return printJSON(cfg.ForSite(weir.Zone(cr.Site)))
}

type configApply struct {
	controlFlags
	configDirFlags
	requestIDFlags
	Expected string        `long:"expected" required:"true" description:"Number of the configuration that this one replaces, 0 for the first"`
	Note     string        `long:"note" description:"Reason, kept in the history"`
	Wait     time.Duration `long:"wait" description:"Wait up to this long until it is in force everywhere"`
}

// Execute implements flags.Commander.
func (ca *configApply) Execute([]string) error {
	cfg, err := ca.loadConfig()
	if err != nil {
		return err
	}
	expected, err := strconv.ParseUint(ca.Expected, 10, 64)
	if err != nil {
		return errors.Errorf("--expected: want a number, got %q", ca.Expected)
	}
	req := operator.ApplyConfigRequest{RequestID: ca.ensureRequestID(), Expected: expected, Note: ca.Note, Config: cfg}
	if err := ca.sendCommand("/v1/config", req); err != nil {
		return err
	}
	if ca.Wait == 0 {
		return nil
	}
	return waitUntilInForce(&ca.controlFlags, expected+1, ca.Wait)
}

type configStatus struct {
	controlFlags
	Wait   time.Duration `long:"wait" description:"Wait up to this long until the number is in force everywhere"`
	Number uint64        `long:"number" description:"Number to wait for; the latest if not given"`
}

// Execute implements flags.Commander.
func (cs *configStatus) Execute([]string) error {
	if cs.Wait > 0 {
		if err := waitUntilInForce(&cs.controlFlags, cs.Number, cs.Wait); err != nil {
			return err
		}
	}
	return getAndPrint(&cs.controlFlags, "/v1/status", func(ans operator.StatusResponse) {
		fmt.Printf("configuration %d, leader %s, log index %d, moves %d\n", ans.ConfigNumber, ans.Leader, ans.Index, ans.Moves)
		rows := make([][]string, 0, len(ans.Processes))
		for _, pr := range ans.Processes {
			rows = append(rows, []string{pr.ID, string(pr.Zone), strconv.FormatUint(pr.ConfigNumber, 10), strconv.FormatBool(pr.Reporting)})
		}
		printTable("PROCESS ZONE NUMBER HEARD", rows)
	})
}

const waitPollInterval = 20 * time.Millisecond

// waitUntilInForce waits until a configuration is in force at all processes that
// report to the control processes, and prints how long that took. Number 0 is the
// latest configuration.
func waitUntilInForce(rm *controlFlags, number uint64, timeout time.Duration) error {
	cl, _, cancel, err := rm.newClient()
	if err != nil {
		return err
	}
	defer cancel()
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	begin := time.Now()
	for {
		var ans operator.StatusResponse
		err := cl.Get(ctx, "/v1/status", &ans)
		want := max(number, 1)
		if number == 0 {
			want = ans.ConfigNumber
		}
		inForce, notReporting := ans.InForce(want)
		if err == nil && inForce {
			fmt.Printf("configuration %d in force at %d processes after %s", want, len(ans.Processes)-len(notReporting), time.Since(begin).Round(time.Millisecond))
			if len(notReporting) > 0 {
				fmt.Printf(", not heard: %s", strings.Join(notReporting, " "))
			}
			fmt.Println()
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("configuration %d is not in force everywhere after %s", want, timeout)
		case <-time.After(waitPollInterval):
		}
	}
}

type configHistory struct{ controlFlags }

// Execute implements flags.Commander.
func (ch *configHistory) Execute([]string) error {
	return getAndPrint(&ch.controlFlags, "/v1/config/history", func(list []fsm.ConfigChange) {
		rows := make([][]string, 0, len(list))
		for _, chg := range list {
			rows = append(rows, []string{
				strconv.FormatUint(chg.Number, 10), chg.At.Format(time.RFC3339), chg.Operator, chg.Checksum, chg.Note,
			})
		}
		printTable("NUMBER AT OPERATOR CHECKSUM NOTE", rows)
	})
}
