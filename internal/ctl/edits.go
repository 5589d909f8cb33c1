package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/chicorylever/chicorylever/internal/control/api"
)

// editIDBytes is the length of a random edit ID.
const editIDBytes = 16

// change is one edit of a section, as the operator asked for it.
type change struct {
	section string
	editID  string
	version uint64
	remove  bool
	dryRun  bool
	body    []byte
}

func sectionPath(section string) string { return "/v1/sections/" + section }

// section returns the current section, or one with version 0 when there is none.
func (c *client) section(ctx context.Context, path string) (api.SectionBody, error) {
	var section api.SectionBody
	err := c.do(ctx, request{method: http.MethodGet, path: sectionPath(path)}, &section)
	if hasReason(err, api.ReasonNotFound) {
		section.Path = path
		return section, nil
	}
	return section, err
}

func (c *client) send(ctx context.Context, e change) (api.EditBody, error) {
	r := request{
		method:  http.MethodPut,
		path:    sectionPath(e.section),
		headers: map[string]string{"If-Match": strconv.Quote(strconv.FormatUint(e.version, 10)), api.HeaderEditID: e.editID},
		body:    e.body,
		change:  !e.dryRun,
	}
	if e.remove {
		r.method = http.MethodDelete
	}
	if e.dryRun {
		r.path += "?dry_run=1"
	}
	var result api.EditBody
	err := c.do(ctx, r, &result)
	return result, err
}

func newEditID() string {
	id := make([]byte, editIDBytes)
	_, _ = rand.Read(id) // never fails
	return hex.EncodeToString(id)
}

// editFile is the content for an edit. A file written by "get" also has the version
// that it was made from.
type editFile struct {
	body       []byte
	version    uint64
	hasVersion bool
}

func readEditFile(name string) (editFile, error) {
	data, err := os.ReadFile(name) //nolint:gosec // the operator names the file
	if err != nil {
		return editFile{}, usage("--file: %v", err)
	}
	if !json.Valid(data) {
		return editFile{}, usage("--file: %s is not valid JSON", name)
	}
	var whole struct {
		Path    *string         `json:"path"`
		Version *uint64         `json:"version"`
		Body    json.RawMessage `json:"body"`
	}
	err = json.Unmarshal(data, &whole)
	if err == nil && whole.Path != nil && whole.Version != nil && whole.Body != nil {
		return editFile{body: whole.Body, version: *whole.Version, hasVersion: true}, nil
	}
	return editFile{body: bytes.TrimSpace(data)}, nil
}

// editFlags are common to the commands that change a section.
func editFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force at every node"},
		&cli.BoolFlag{Name: "dry-run", Usage: "check the change without making it"},
		&cli.StringFlag{Name: "edit-id", Usage: "identity of the edit, to repeat one with an unknown outcome"},
		&cli.Uint64Flag{Name: "base", Usage: "version that the change replaces; default is that of the file, else the current one"},
	}, more...)
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: "file", Usage: "JSON content, or the output of get with its version"}
}

// newChange takes identity and version from the flags.
func newChange(cmd *cli.Command, current api.SectionBody) change {
	e := change{
		section: current.Path,
		editID:  cmd.String("edit-id"),
		version: current.Version,
		dryRun:  cmd.Bool("dry-run"),
	}
	if e.editID == "" {
		e.editID = newEditID()
	}
	if cmd.IsSet("base") {
		e.version = cmd.Uint64("base")
	}
	return e
}

// finish sends the change, reports the result and waits if asked to.
func (p *program) finish(ctx context.Context, cmd *cli.Command, c *client, e change) error {
	result, err := c.send(ctx, e)
	if err != nil {
		p.explain(ctx, c, e, err)
		return err
	}
	return p.accepted(ctx, cmd, c, e, result)
}

// explain shows the newer version after a conflict and the edit ID after an
// unknown outcome.
func (p *program) explain(ctx context.Context, c *client, e change, err error) {
	switch ExitCode(err) {
	case ExitUnknown:
		_, _ = fmt.Fprintf(p.Err, "repeat the command with --edit-id %s --base %d\n", e.editID, e.version)
	case ExitConflict:
		current, readErr := c.section(ctx, e.section)
		if readErr != nil {
			_, _ = fmt.Fprintln(p.Err, "the newer version cannot be read:", readErr)
			return
		}
		if current.Version == 0 {
			_, _ = fmt.Fprintf(p.Err, "%s does not exist\n", e.section)
			return
		}
		_, _ = fmt.Fprintf(p.Err, "%s has version %d:\n%s\n", e.section, current.Version, pretty(current.Body))
	}
}

func (p *program) accepted(ctx context.Context, cmd *cli.Command, c *client, e change, result api.EditBody) error {
	asJSON, err := isJSON(cmd)
	if err != nil {
		return err
	}
	switch {
	case asJSON:
		err = p.printJSON(result)
	case result.DryRun:
		_, err = fmt.Fprintf(p.Out, "%s: the change is valid\n", e.section)
	default:
		_, err = fmt.Fprintf(p.Out, "%s: accepted, version %d, revision %d\n", e.section, result.Version, result.Revision)
	}
	if err != nil {
		return fail(ExitError, errors.Wrap(err, "write the output"))
	}
	if result.DryRun || !cmd.Bool("wait") {
		return nil
	}
	return p.waitInForce(ctx, c, result.Revision)
}
