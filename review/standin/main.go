package standin

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun is the longest time that a case runs before its processes are ended.
const maxRun = 108 * time.Second

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
	return awaitResult(record, func() (bool, error) {
		return run(&Case{Fleet: fleet, Record: record, Trouble: os.Getenv("TROUBLE") != "0"})
	})
}

// awaitResult returns the exit code of a run. A run that takes too long, or is interrupted, is
// given up, so that its processes are ended in time.
func awaitResult(record *Record, run func() (bool, error)) int {
	result := make(chan int, 1)
	go func() {
		broken, err := run()
		switch {
		case err != nil:
			record.Logf("the case can't run: %v", err)
			result <- ExitCannotRun
		case broken:
			record.Logf("result: the rule was broken")
			result <- ExitBroken
		default:
			record.Logf("result: the rule held")
			result <- ExitHeld
		}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case code := <-result:
		return code
	case <-time.After(maxRun):
		record.Logf("the case can't run: it takes longer than %v", maxRun)
	case <-interrupted:
		record.Logf("the case can't run: it was interrupted")
	}
	return ExitCannotRun
}
