package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/settings"
	"greengageweir/internal/common/strictjson"
	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/standin/jobload"

	"github.com/pkg/errors"

	weir "greengageweir"
)

// jobLoadCommand submits jobs as the teams of a catalog, and fails if a promise to them
// is broken.
type jobLoadCommand struct {
	Jobs     []string      `long:"jobs" required:"true" description:"Address of a process that accepts jobs; repeat for each"`
	Queue    string        `long:"queue" required:"true" description:"Queue to submit to"`
	Catalog  string        `long:"catalog" required:"true" description:"File with the version in force; its teams send"`
	Earlier  string        `long:"earlier" description:"File with an earlier version; the keys that the one in force lacks must be refused"`
	Hot      weir.TeamName `long:"hot" description:"Team that sends several times as much as each other"`
	HotShare int           `long:"hot-share" default:"5" description:"How many times as much"`
	Rate     int           `long:"rate" default:"10" description:"Jobs per second"`
	Duration time.Duration `long:"duration" default:"10s" description:"How long to submit jobs"`
	Patience time.Duration `long:"patience" default:"40s" description:"Time limit of a job, from its first submission to its end"`
	Seed     int64         `long:"seed" default:"1" description:"Random seed"`
}

// Execute implements flags.Commander.
func (jl *jobLoadCommand) Execute([]string) error {
	var ck settings.Checks
	ck.Count("--rate", jl.Rate, 1, 1000)
	ck.Count("--hot-share", jl.HotShare, 1, 100)
	ck.Range("--duration", jl.Duration, time.Second, time.Hour)
	if err := ck.Err(); err != nil {
		return err
	}
	gn := &jobload.Generator{
		Addrs: jl.Jobs, Queue: jl.Queue, Rate: jl.Rate, Duration: jl.Duration, Patience: jl.Patience, Seed: jl.Seed, Clock: clock.System{},
	}
	teams, valid, err := readTeams(jl.Catalog)
	if err != nil {
		return err
	}
	for _, tm := range teams {
		if len(tm.Keys) == 0 {
			continue
		}
		share := 1
		if tm.Name == jl.Hot {
			share = jl.HotShare
		}
		gn.Teams = append(gn.Teams, jobload.Team{Name: tm.Name, Key: tm.Keys[0], Share: share})
	}
	if len(gn.Teams) == 0 {
		return errors.Errorf("%s has no team with a key", jl.Catalog)
	}
	if jl.Earlier != "" {
		_, earlier, err := readTeams(jl.Earlier)
		if err != nil {
			return err
		}
		gn.Revoked = slices.DeleteFunc(earlier, func(key auth.Key) bool { return slices.Contains(valid, key) })
	}
	res := gn.Run(context.Background())
	text, err := json.Marshal(res)
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	return res.Err()
}

// readTeams returns the teams of a catalog's file, and all their keys.
func readTeams(path string) ([]jobhttp.Team, []auth.Key, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	var ct jobhttp.Catalog
	if err := json.Unmarshal(data, &ct); err != nil {
		return nil, nil, errors.Wrap(strictjson.Redact(err), path)
	}
	var keys []auth.Key
	for _, tm := range ct.Teams {
		keys = append(keys, tm.Keys...)
	}
	return ct.Teams, keys, nil
}
