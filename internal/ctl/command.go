// Package ctl implements chicoryctl, the command-line tool for operators.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// defaultTimeout limits a request with its retries. The wait for a revision to be in
// force has the same limit of its own.
const defaultTimeout = 30 * time.Second

const description = `Exit codes: 0 success; 1 error; 2 wrong command line or invalid settings file;
3 conflict: the section has a newer version; 4 refused, nothing was changed;
5 unknown outcome: a change may or may not have been made, repeat the command
with the printed --edit-id; 6 accepted, but not in force everywhere in time.`

// Streams are the output streams of a command.
type Streams struct {
	// In is standard input; nil selects that of the process.
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Progress is the terminal that shows the progress of a long wait; nil shows none.
	Progress io.Writer
}

// Run executes the command line args, whose first element is the program name, and
// returns the exit code.
func Run(ctx context.Context, args []string, streams Streams) int {
	err := newCommand(streams).Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintln(streams.Err, "chicoryctl:", err)
	}
	return ExitCode(err)
}

// program holds the streams that the command actions write to.
type program struct {
	Streams
}

func newCommand(streams Streams) *cli.Command {
	p := &program{streams}
	return &cli.Command{
		Name:           "chicoryctl",
		Usage:          "operate a chicorylever cluster",
		Description:    description,
		Reader:         streams.In,
		Writer:         streams.Out,
		ErrWriter:      streams.Err,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags:          globalFlags(),
		Commands: []*cli.Command{
			p.getCommand(), p.editCommand(), p.applyCommand(), p.removeCommand(), p.zoneCommand(), p.rolloutCommand(),
			p.statusCommand(), p.historyCommand(), p.memberCommand(), p.reportCommand(),
			p.checkCommand(), p.tokenCommand(), p.explainCommand(),
		},
		Action: unknownCommand,
	}
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "api", Usage: "URL of a control member's API; several are tried in turn", Sources: cli.EnvVars("CHICORYCTL_API")},
		&cli.StringFlag{Name: "token-file", Usage: "file with the team's token", Sources: cli.EnvVars("CHICORYCTL_TOKEN_FILE")},
		&cli.StringFlag{Name: "ca", Usage: "PEM file with the CA certificates that the API's certificate is checked against"},
		&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json"},
		&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "bound on a request with its resends, and again on a wait"},
	}
}

// unknownCommand is the action of the program and of command groups. It runs when no
// known subcommand is given.
func unknownCommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageErrorf("unknown command %q; see --help", cmd.Args().First())
	}
	return usageErrorf("a command is required; see --help")
}

// clientFromFlags validates the global flags and returns a client for them.
func clientFromFlags(cmd *cli.Command) (*client, error) {
	if len(cmd.StringSlice("api")) == 0 {
		return nil, usageErrorf("--api is required")
	}
	if cmd.String("token-file") == "" {
		return nil, usageErrorf("--token-file is required")
	}
	if cmd.Duration("timeout") <= 0 {
		return nil, usageErrorf("--timeout must be positive")
	}
	if _, err := wantsJSON(cmd); err != nil {
		return nil, err
	}
	return newClient(cmd.StringSlice("api"), cmd.String("token-file"), cmd.String("ca"), cmd.Duration("timeout"))
}

// wantsJSON reports whether --output selects JSON.
func wantsJSON(cmd *cli.Command) (bool, error) {
	switch output := cmd.String("output"); output {
	case "json":
		return true, nil
	case "text":
		return false, nil
	default:
		return false, usageErrorf("--output must be text or json, not %q", output)
	}
}

// requireArguments returns the arguments, or an error when their number differs from
// that of names.
func requireArguments(cmd *cli.Command, names ...string) ([]string, error) {
	if cmd.Args().Len() != len(names) {
		return nil, usageErrorf("%s takes %d arguments %v, got %d", cmd.Name, len(names), names, cmd.Args().Len())
	}
	return cmd.Args().Slice(), nil
}

// print writes the value as JSON, or as text with writeText, according to --output.
func (p *program) print(cmd *cli.Command, value any, writeText func(io.Writer)) error {
	asJSON, err := wantsJSON(cmd)
	if err != nil {
		return err
	}
	if !asJSON {
		writeText(p.Out)
		return nil
	}
	return p.printJSON(value)
}

func (p *program) printJSON(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return withExitCode(ExitError, errors.Wrap(err, "encode the output"))
	}
	_, err = fmt.Fprintf(p.Out, "%s\n", data)
	if err != nil {
		return withExitCode(ExitError, errors.Wrap(err, "write the output"))
	}
	return nil
}
