package main

import (
	"fmt"

	"greengageweir/platform"
)

// checkCommand checks the platform's settings file and prints what a process
// would make of it.
type checkCommand struct{ platformFlags }

// Execute implements flags.Commander.
func (cc *checkCommand) Execute([]string) error {
	st, err := platform.Load(cc.path())
	if err != nil {
		return err
	}
	fmt.Printf("%s in zone %s: peers at %s, metrics at %s, %d seeds, first start %t\n",
		st.Name, st.Zone, st.PeerAddress(), st.MetricsAddress(), len(st.Seeds), st.FirstStart)
	return nil
}
