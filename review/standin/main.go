package standin

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	ExitHeld      = 0
	ExitBroken    = 1
	ExitCannotRun = 2
)

// Case is what a case gets from its script.
type Case struct {
	Fleet  *Fleet
	Record *Record
	// Trouble is false when the case runs without its disruption.
	Trouble bool
}

// Main runs a case with a fleet. The first argument is the root of the repository, the
// second the folder of the case, the third a temporary folder. run returns whether the rule
// was broken.
func Main(placement Placement, run func(c *Case) (broken bool, err error)) {
	os.Exit(runCase(placement, run))
}

func runCase(placement Placement, run func(c *Case) (bool, error)) int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: CASE ROOT CASE-DIRECTORY TEMPORARY-DIRECTORY")
		return ExitCannotRun
	}
	record, err := NewRecord(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitCannotRun
	}
	defer record.Close()
	fleet, err := NewFleet(os.Args[1], os.Args[3], record, placement)
	if err != nil {
		record.Logf("the case can't run: %v", err)
		return ExitCannotRun
	}
	defer fleet.StopAll()
	if err := fleet.StartAll(); err != nil {
		record.Logf("the case can't run: %v", err)
		return ExitCannotRun
	}
	broken, err := run(&Case{Fleet: fleet, Record: record, Trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		record.Logf("the case can't run: %v", err)
		return ExitCannotRun
	case broken:
		record.Logf("result: the rule was broken")
		return ExitBroken
	}
	record.Logf("result: the rule held")
	return ExitHeld
}
