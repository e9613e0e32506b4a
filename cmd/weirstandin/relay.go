package main

import (
	"context"
	"os/signal"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"greengageweir/internal/standin/relay"
)

// relayCommand runs the simulated network between zones.
type relayCommand struct {
	ControlAddr string   `long:"control-addr" required:"true" description:"IP:port of the control API with /cut, /heal and /silence"`
	Routes      []string `long:"route" required:"true" description:"Route as fromZone,IP:port,targetIP:port,toZone; repeat for each"`
}

// Execute implements flags.Commander.
func (rc *relayCommand) Execute([]string) error {
	rl := &relay.Relay{ControlAddr: rc.ControlAddr}
	for _, text := range rc.Routes {
		part := strings.Split(text, ",")
		if len(part) != 4 {
			return errors.Errorf("--route: want fromZone,IP:port,targetIP:port,toZone, got %q", text)
		}
		rl.Routes = append(rl.Routes, relay.Route{FromZone: part[0], Listen: part[1], Target: part[2], ToZone: part[3]})
	}
	if err := rl.Default(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return rl.Run(ctx)
}
