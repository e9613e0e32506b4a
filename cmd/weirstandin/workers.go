package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/logging"
	"greengageweir/internal/config/file"
	"greengageweir/internal/standin/worker"

	weir "greengageweir"
)

// workersCommand runs the workers that a site's overlay declares, and their
// platform.
type workersCommand struct {
	Config       string        `long:"config" required:"true" description:"Folder with base.yaml and overlays/"`
	Site         string        `long:"site" required:"true" description:"Site whose workers to run"`
	Entries      []string      `long:"entry" required:"true" description:"Announcement address of an entry instance; repeat for each"`
	PlatformAddr string        `long:"platform-addr" required:"true" description:"IP:port of the platform API"`
	Journal      string        `long:"journal" required:"true" description:"Journal file that records the executed requests"`
	RebootTime   time.Duration `long:"reboot-time" default:"1s" description:"How long a reboot takes"`
}

// Execute implements flags.Commander.
func (wc *workersCommand) Execute([]string) error {
	cfg, err := file.LoadFolder(wc.Config)
	if err != nil {
		return err
	}
	lg, _, err := logging.New(os.Stderr, "info", "standin", wc.Site)
	if err != nil {
		return err
	}
	jo, err := worker.OpenJournal(wc.Journal)
	if err != nil {
		return err
	}
	host := &worker.Host{PlatformAddr: wc.PlatformAddr, RebootTime: wc.RebootTime, Logger: lg}
	for _, inst := range cfg.ForSite(weir.Zone(wc.Site)).Instances {
		ix := len(host.Workers)
		entries := append(append([]string{}, wc.Entries[ix%len(wc.Entries):]...), wc.Entries[:ix%len(wc.Entries)]...)
		host.Workers = append(host.Workers, &worker.Worker{
			ID: inst.Name, Zone: inst.Zone, Rack: inst.Rack, Entries: entries, Journal: jo, Clock: clock.System{},
		})
	}
	if err := host.Default(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return host.Run(ctx)
}
