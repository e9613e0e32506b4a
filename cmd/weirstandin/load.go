package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/settings"
	"greengageweir/internal/standin/load"

	weir "greengageweir"
)

// loadCommand sends requests for a limited time and writes the results to a file.
type loadCommand struct {
	Targets  []string      `long:"target" required:"true" description:"Entry instance as zone=IP:port; repeat for each"`
	Services []string      `long:"service" required:"true" description:"Service to call; repeat for each"`
	Teams    []string      `long:"team" description:"Team to call as; repeat for each"`
	Rate     int           `long:"rate" default:"100" description:"Requests per second"`
	Bookings int           `long:"bookings" default:"60" description:"Percentage of bookings"`
	Twice    int           `long:"twice" default:"10" description:"Percentage of bookings sent twice"`
	WorkMS   int           `long:"work-ms" default:"20" description:"Milliseconds that a worker is busy with a request"`
	Duration time.Duration `long:"duration" default:"10s" description:"How long to send requests"`
	Timeout  time.Duration `long:"timeout" default:"2s" description:"Deadline of a request"`
	Tries    int           `long:"tries" default:"20" description:"Maximum attempts for one request"`
	Seed     int64         `long:"seed" default:"1" description:"Random seed of the request mix"`
	Out      string        `long:"out" required:"true" description:"File for the results"`
}

// Execute implements flags.Commander.
func (lc *loadCommand) Execute([]string) error {
	var ck settings.Checks
	ck.Count("--rate", lc.Rate, 1, 20_000)
	ck.Range("--duration", lc.Duration, time.Second, time.Hour)
	ld := &load.Generator{
		Rate: lc.Rate, Bookings: lc.Bookings, Twice: lc.Twice, WorkMS: lc.WorkMS, Duration: lc.Duration,
		Seed: lc.Seed, Timeout: lc.Timeout, MaxTries: lc.Tries, Clock: clock.System{},
	}
	for _, item := range lc.Targets {
		zone, addr := ck.Pair("--target", item)
		ck.Address("--target", addr)
		ld.Targets = append(ld.Targets, load.Target{Zone: weir.Zone(zone), Addr: addr})
	}
	if err := ck.Err(); err != nil {
		return err
	}
	for _, name := range lc.Services {
		ld.Services = append(ld.Services, weir.ServiceName(name))
	}
	for _, name := range lc.Teams {
		ld.Teams = append(ld.Teams, weir.TeamName(name))
	}
	body, err := json.Marshal(ld.Run(context.Background()))
	if err != nil {
		return err
	}
	return os.WriteFile(lc.Out, body, 0o600)
}
