// Command rig2 has the stand-ins for the clients, the instances and the operator of the users'
// platform that the scripts in review/ start. The scripts start the system's own programs.
//
//	rig2 plan DIR CORE SIDE    chooses addresses and writes the settings files to DIR
//	rig2 CASE DIR RECORD       plays a case; exits with 1 if the rule was broken, 2 if it couldn't run
package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
)

const (
	exitBroken = 1
	exitNotRun = 2
)

// writerCase is the case whose first requests are those that it judges.
const writerCase = "writer"

// play plays a case and returns whether the rule was kept.
type play func(ctx context.Context, p *Plan, instances []*Instance, record *Record, trouble bool) (bool, error)

var cases = map[string]play{
	"crowd":    runCrowd,
	"cold":     runCold,
	"changes":  runChanges,
	writerCase: runWriter,
}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "plan" {
		if err := writePlan(os.Args[2], os.Args[3], os.Args[4]); err != nil {
			fail(err)
		}
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fail(fmt.Errorf("usage: rig2 plan DIR CORE SIDE | rig2 CASE DIR RECORD"))
	}
	kept, err := playCase(os.Args[1], os.Args[2], os.Args[3])
	if err != nil {
		fail(err)
	}
	if !kept {
		os.Exit(exitBroken)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "rig2:", err)
	os.Exit(exitNotRun)
}

func writePlan(dir, core, side string) error {
	coreCount, err := strconv.Atoi(core)
	if err != nil {
		return err
	}
	sideCount, err := strconv.Atoi(side)
	if err != nil {
		return err
	}
	p, err := newPlan(coreCount, sideCount)
	if err != nil {
		return err
	}
	return p.write(dir)
}

// playCase starts the instances, configures the system and plays the case.
func playCase(name, dir, recordPath string) (kept bool, err error) {
	p, err := readPlan(dir)
	if err != nil {
		return false, err
	}
	record, err := newRecord(recordPath)
	if err != nil {
		return false, err
	}
	defer record.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var instances []*Instance
	for _, m := range p.Side {
		i := newInstance(p, m, record)
		if err := i.start(ctx); err != nil {
			return false, err
		}
		instances = append(instances, i)
	}
	if err := configure(p, firstConfiguration()); err != nil {
		return false, err
	}
	if err := awaitReady(p); err != nil {
		return false, err
	}
	if name != writerCase {
		if err := awaitServed(p); err != nil {
			return false, err
		}
	}
	return cases[name](ctx, p, instances, record, os.Getenv("TROUBLE") != "0")
}
