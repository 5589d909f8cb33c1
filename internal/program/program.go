// Package program contains the command line, logging, signal handling and settings reload
// that the main packages share.
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/chicorylever/chicorylever/internal/obs"
	"github.com/chicorylever/chicorylever/internal/settings"
)

// exitFailure is the exit code of a program that fails after its settings were accepted.
const exitFailure = 1

// Daemon runs a daemon until ctx ends, configured by the settings file at settingsPath.
type Daemon func(ctx context.Context, settingsPath string) error

// Main runs the command line of a daemon; see Run. Without the flag --settings, the path of
// the settings file is taken from the first of settingsVariables that is set in the
// environment.
func Main(name, usage string, daemon Daemon, settingsVariables ...string) {
	Run(&cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "JSON settings `FILE`", Sources: cli.EnvVars(settingsVariables...)},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return daemon(ctx, command.String("settings"))
		},
	})
}

// Run runs a command line and exits the process after an error. SIGTERM and SIGINT start a
// graceful stop. The exit code is 0 after a graceful stop, 2 for invalid settings or usage,
// 1 for other errors.
func Run(command *cli.Command) {
	// A SIGHUP that arrives before watchSettings handles it must not end the process.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	action, started := command.Action, false
	command.Action = func(ctx context.Context, command *cli.Command) error {
		started = true
		return action(ctx, command)
	}
	err := command.Run(ctx, os.Args)
	stop()
	logOutput.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, command.Name+": "+err.Error())
		os.Exit(exitCode(err, started))
	}
}

// exitCode returns the exit code for err. An error before the action has started is a usage
// error.
func exitCode(err error, started bool) int {
	var invalid *settings.Error
	if !started || errors.As(err, &invalid) {
		return settings.ExitCode
	}
	return exitFailure
}

// logOutput receives the lines of all loggers. It never blocks, so that a stalled reader of
// standard output does not delay requests.
var logOutput = obs.NewAsyncWriter(os.Stdout)

// Logger returns a logger that writes JSON lines to standard output.
func Logger(levelName string) (log.Logger, error) {
	return obs.NewLogger(logOutput, levelName)
}
