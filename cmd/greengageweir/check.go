package main

import (
	"fmt"

	"greengageweir/platform"
)

// checkCommand checks the platform's settings file and prints the values that a
// process derives from it.
type checkCommand struct{ platformFlags }

// Execute implements flags.Commander.
func (cc *checkCommand) Execute([]string) error {
	st, err := platform.Load(cc.settingsPath())
	if err != nil {
		return err
	}
	fmt.Printf("%s in zone %s: peers at %s, metrics at %s, %d seeds, first start %t\n",
		st.Name, st.Zone, st.PeerAddress(), st.MetricsAddress(), len(st.Seeds), st.FirstStart)
	return nil
}
