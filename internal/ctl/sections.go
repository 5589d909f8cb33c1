package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/chicorylever/chicorylever/internal/control/api"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// zoneAttempts bounds how often a zone is read again after a conflict.
const zoneAttempts = 4

func (p *program) getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print the document, or a section with its version as edit and apply take it",
		ArgsUsage: "[SECTION]",
		Action:    p.get,
	}
}

func (p *program) get(ctx context.Context, cmd *cli.Command) error {
	c, err := connect(cmd)
	if err != nil {
		return err
	}
	if !cmd.Args().Present() {
		var doc api.DocumentBody
		if err := c.do(ctx, request{method: http.MethodGet, path: "/v1/document"}, &doc); err != nil {
			return err
		}
		return p.printJSON(doc)
	}
	args, err := arguments(cmd, "SECTION")
	if err != nil {
		return err
	}
	if err := checkSection(args[0]); err != nil {
		return err
	}
	var section api.SectionBody
	if err := c.do(ctx, request{method: http.MethodGet, path: sectionPath(args[0])}, &section); err != nil {
		return err
	}
	return p.printJSON(section)
}

func checkSection(path string) error {
	if err := document.CheckPath(path); err != nil {
		return fail(ExitUsage, err)
	}
	return nil
}

func (p *program) editCommand() *cli.Command {
	return &cli.Command{
		Name:      "edit",
		Usage:     "show the difference that a file makes to a section, and send it",
		ArgsUsage: "SECTION",
		Flags:     editFlags(fileFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return p.replace(ctx, cmd, true)
		},
	}
}

func (p *program) applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "make a section equal to a file; sends nothing when it is already",
		ArgsUsage: "SECTION",
		Flags:     editFlags(fileFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return p.replace(ctx, cmd, false)
		},
	}
}

func (p *program) replace(ctx context.Context, cmd *cli.Command, show bool) error {
	if cmd.String("file") == "" {
		return usage("--file is required")
	}
	file, err := readEditFile(cmd.String("file"))
	if err != nil {
		return err
	}
	c, current, err := p.openSection(ctx, cmd)
	if err != nil {
		return err
	}
	e := newChange(cmd, current)
	e.body = file.body
	if file.hasVersion && !cmd.IsSet("base") {
		e.version = file.version
	}
	if show {
		p.showDifference(cmd, current.Body, file.body)
	} else if !cmd.IsSet("edit-id") && sameContent(current.Body, file.body) {
		return p.unchanged(ctx, cmd, c, current)
	}
	return p.finish(ctx, cmd, c, e)
}

// showDifference leaves standard output to the result when that is JSON.
func (p *program) showDifference(cmd *cli.Command, before, after []byte) {
	w := p.Out
	if asJSON, _ := isJSON(cmd); asJSON {
		w = p.Err
	}
	_, _ = fmt.Fprint(w, difference(before, after))
}

// openSection takes the only argument as the section and reads it.
func (p *program) openSection(ctx context.Context, cmd *cli.Command) (*client, api.SectionBody, error) {
	args, err := arguments(cmd, "SECTION")
	if err != nil {
		return nil, api.SectionBody{}, err
	}
	if err := checkSection(args[0]); err != nil {
		return nil, api.SectionBody{}, err
	}
	c, err := connect(cmd)
	if err != nil {
		return nil, api.SectionBody{}, err
	}
	current, err := c.section(ctx, args[0])
	return c, current, err
}

// unchanged reports that the section already has the wanted content.
func (p *program) unchanged(ctx context.Context, cmd *cli.Command, c *client, current api.SectionBody) error {
	result := api.EditBody{Revision: current.Revision, Version: current.Version, DryRun: cmd.Bool("dry-run")}
	return p.accepted(ctx, cmd, c, change{section: current.Path + " unchanged"}, result)
}

func (p *program) removeCommand() *cli.Command {
	return &cli.Command{
		Name:      "remove",
		Usage:     "remove a section",
		ArgsUsage: "SECTION",
		Flags:     editFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, current, err := p.openSection(ctx, cmd)
			if err != nil {
				return err
			}
			e := newChange(cmd, current)
			e.remove = true
			return p.finish(ctx, cmd, c, e)
		},
	}
}

func (p *program) zoneCommand() *cli.Command {
	subcommand := func(state document.ZoneState, effect string) *cli.Command {
		return &cli.Command{
			Name:      string(state),
			Usage:     "let an availability zone " + effect,
			ArgsUsage: "NAME",
			Flags:     []cli.Flag{&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force at every node"}},
			Action: func(ctx context.Context, cmd *cli.Command) error {
				return p.setZone(ctx, cmd, state)
			},
		}
	}
	return &cli.Command{
		Name:   "zone",
		Usage:  "take an availability zone out or back in",
		Action: unknownCommand,
		Commands: []*cli.Command{
			subcommand(document.ZoneOut, "take no new work"),
			subcommand(document.ZoneIn, "take new work"),
		},
	}
}

// setZone changes only the state of the zone, so after a conflict it reads the
// section again and repeats the change with a new edit ID.
func (p *program) setZone(ctx context.Context, cmd *cli.Command, state document.ZoneState) error {
	args, err := arguments(cmd, "NAME")
	if err != nil {
		return err
	}
	path := "zones/" + args[0]
	if err := checkSection(path); err != nil {
		return err
	}
	c, err := connect(cmd)
	if err != nil {
		return err
	}
	for attempt := 1; ; attempt++ {
		current, err := c.section(ctx, path)
		if err != nil {
			return err
		}
		var zone document.Zone
		if current.Version == 0 || json.Unmarshal(current.Body, &zone) != nil {
			return fail(ExitError, &document.FieldError{Path: path, Problem: "no such zone"})
		}
		if zone.State == state {
			return p.unchanged(ctx, cmd, c, current)
		}
		zone.State = state
		body, err := json.Marshal(zone)
		if err != nil {
			return fail(ExitError, err)
		}
		e := change{section: path, editID: newEditID(), version: current.Version, body: body}
		result, err := c.send(ctx, e)
		if err == nil {
			return p.accepted(ctx, cmd, c, e, result)
		}
		if ExitCode(err) != ExitConflict || attempt == zoneAttempts {
			return err
		}
	}
}
