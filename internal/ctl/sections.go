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

// maxZoneAttempts limits how often a change of a zone's state is tried when it conflicts
// with other edits.
const maxZoneAttempts = 4

func (p *program) getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print the document, or a section with its version as edit and apply take it",
		ArgsUsage: "[SECTION]",
		Action:    p.get,
	}
}

func (p *program) get(ctx context.Context, cmd *cli.Command) error {
	c, err := clientFromFlags(cmd)
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
	args, err := requireArguments(cmd, "SECTION")
	if err != nil {
		return err
	}
	if err := checkSectionPath(args[0]); err != nil {
		return err
	}
	var section api.SectionBody
	if err := c.do(ctx, request{method: http.MethodGet, path: sectionURLPath(args[0])}, &section); err != nil {
		return err
	}
	return p.printJSON(section)
}

func checkSectionPath(path string) error {
	if err := document.ValidateSectionPath(path); err != nil {
		return withExitCode(ExitUsage, err)
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
			return p.replaceSection(ctx, cmd, true)
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
			return p.replaceSection(ctx, cmd, false)
		},
	}
}

// replaceSection replaces a section by the content of a file. With showDiff it prints
// the difference first and always sends the edit; without, it sends nothing when the
// section already has this content, unless --edit-id is given.
func (p *program) replaceSection(ctx context.Context, cmd *cli.Command, showDiff bool) error {
	if cmd.String("file") == "" {
		return usageErrorf("--file is required")
	}
	file, err := readEditFile(cmd.String("file"))
	if err != nil {
		return err
	}
	c, current, err := p.fetchTargetSection(ctx, cmd)
	if err != nil {
		return err
	}
	e := newEdit(cmd, current)
	e.body = file.body
	if file.hasVersion && !cmd.IsSet("base") {
		e.version = file.version
	}
	if showDiff {
		p.printDiff(cmd, hideKeys(current.Path, current.Body), hideKeys(current.Path, file.body))
	} else if !cmd.IsSet("edit-id") && equalJSON(current.Body, file.body) {
		return p.reportUnchanged(ctx, cmd, c, current)
	}
	return p.submitEdit(ctx, cmd, c, e)
}

// printDiff writes the difference to standard output, or to standard error when standard
// output carries the JSON result.
func (p *program) printDiff(cmd *cli.Command, before, after []byte) {
	w := p.Out
	if asJSON, _ := wantsJSON(cmd); asJSON {
		w = p.Err
	}
	_, _ = fmt.Fprint(w, diffJSON(before, after))
}

// fetchTargetSection fetches the section that the only argument names.
func (p *program) fetchTargetSection(ctx context.Context, cmd *cli.Command) (*client, api.SectionBody, error) {
	args, err := requireArguments(cmd, "SECTION")
	if err != nil {
		return nil, api.SectionBody{}, err
	}
	if err := checkSectionPath(args[0]); err != nil {
		return nil, api.SectionBody{}, err
	}
	c, err := clientFromFlags(cmd)
	if err != nil {
		return nil, api.SectionBody{}, err
	}
	current, err := c.fetchSection(ctx, args[0])
	return c, current, err
}

// reportUnchanged reports that the section already has the requested content, and with
// --wait waits until the current revision is in force.
func (p *program) reportUnchanged(ctx context.Context, cmd *cli.Command, c *client, current api.SectionBody) error {
	result := api.EditBody{Revision: current.Revision, Version: current.Version, DryRun: cmd.Bool("dry-run")}
	return p.reportResultAndWait(ctx, cmd, c, edit{section: current.Path + " unchanged"}, result)
}

func (p *program) removeCommand() *cli.Command {
	return &cli.Command{
		Name:      "remove",
		Usage:     "remove a section",
		ArgsUsage: "SECTION",
		Flags:     editFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, current, err := p.fetchTargetSection(ctx, cmd)
			if err != nil {
				return err
			}
			e := newEdit(cmd, current)
			e.remove = true
			return p.submitEdit(ctx, cmd, c, e)
		},
	}
}

func (p *program) zoneCommand() *cli.Command {
	stateCommand := func(state document.ZoneState, effect string) *cli.Command {
		return &cli.Command{
			Name:      string(state),
			Usage:     "let an availability zone " + effect,
			ArgsUsage: "NAME",
			Flags:     []cli.Flag{&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force at every node"}},
			Action: func(ctx context.Context, cmd *cli.Command) error {
				return p.setZoneState(ctx, cmd, state)
			},
		}
	}
	return &cli.Command{
		Name:   "zone",
		Usage:  "take an availability zone out or back in",
		Action: unknownCommand,
		Commands: []*cli.Command{
			stateCommand(document.ZoneOut, "take no new work"),
			stateCommand(document.ZoneIn, "take new work"),
		},
	}
}

// setZoneState sets the state of a zone. It changes no other field, so after a conflict
// it fetches the section again and retries with a new edit ID.
func (p *program) setZoneState(ctx context.Context, cmd *cli.Command, state document.ZoneState) error {
	args, err := requireArguments(cmd, "NAME")
	if err != nil {
		return err
	}
	path := "zones/" + args[0]
	if err := checkSectionPath(path); err != nil {
		return err
	}
	c, err := clientFromFlags(cmd)
	if err != nil {
		return err
	}
	for attempt := 1; ; attempt++ {
		current, err := c.fetchSection(ctx, path)
		if err != nil {
			return err
		}
		var zone document.Zone
		if current.Version == 0 || json.Unmarshal(current.Body, &zone) != nil {
			return withExitCode(ExitError, &document.FieldError{Path: path, Problem: "no such zone"})
		}
		if zone.State == state {
			return p.reportUnchanged(ctx, cmd, c, current)
		}
		zone.State = state
		body, err := json.Marshal(zone)
		if err != nil {
			return withExitCode(ExitError, err)
		}
		e := edit{section: path, editID: newEditID(), version: current.Version, body: body}
		result, err := c.sendEdit(ctx, e)
		if err == nil {
			return p.reportResultAndWait(ctx, cmd, c, e, result)
		}
		if ExitCode(err) != ExitConflict || attempt == maxZoneAttempts {
			return err
		}
	}
}
