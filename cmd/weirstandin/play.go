package main

import (
	"context"
	"os"
	"sync"

	"greengageweir/internal/standin/play"
)

// playCommand runs a load against the real job scheduler in real time, for all
// policies and seeds concurrently.
type playCommand struct {
	Load   string   `long:"load" default:"small" description:"small, smallTrouble, grown or grownTrouble"`
	Policy []string `long:"policy" default:"static" default:"reactive" default:"owner" default:"known" description:"Capacity policy; repeat for several"`
	Seeds  int64    `long:"seeds" default:"1" description:"Number of seeds, from 1"`
	Plot   string   `long:"plot" description:"File for a plot, .svg or .png"`
}

// Execute implements flags.Commander.
func (pc *playCommand) Execute([]string) error {
	ld, err := play.LoadByName(pc.Load)
	if err != nil {
		return err
	}
	results := make([]play.Result, len(pc.Policy)*int(pc.Seeds))
	errs := make([]error, len(results))
	var wg sync.WaitGroup
	for ix := range results {
		si := play.Simulation{Load: ld, Policy: play.Policy(pc.Policy[ix/int(pc.Seeds)]), Seed: int64(ix)%pc.Seeds + 1}
		wg.Go(func() { results[ix], errs[ix] = si.Run(context.Background()) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	if pc.Plot != "" {
		if err := play.Plot(pc.Plot, results); err != nil {
			return err
		}
	}
	return play.Print(os.Stdout, results)
}
