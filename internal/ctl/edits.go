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

// editIDBytes is the length of a random edit ID before hexadecimal encoding.
const editIDBytes = 16

// edit is an edit of one section as requested by the operator.
type edit struct {
	section string
	editID  string
	// version is the section version that the edit replaces, 0 to create the section.
	version uint64
	remove  bool
	dryRun  bool
	body    []byte
}

func sectionURLPath(section string) string { return "/v1/sections/" + section }

// fetchSection returns the current section, or one with version 0 when it does not exist.
func (c *client) fetchSection(ctx context.Context, path string) (api.SectionBody, error) {
	var section api.SectionBody
	err := c.do(ctx, request{method: http.MethodGet, path: sectionURLPath(path)}, &section)
	if hasReason(err, api.ReasonNotFound) {
		section.Path = path
		return section, nil
	}
	return section, err
}

func (c *client) sendEdit(ctx context.Context, e edit) (api.EditBody, error) {
	r := request{
		method:   http.MethodPut,
		path:     sectionURLPath(e.section),
		headers:  map[string]string{"If-Match": strconv.Quote(strconv.FormatUint(e.version, 10)), api.HeaderEditID: e.editID},
		body:     e.body,
		mutating: !e.dryRun,
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

// editFile is the content of the file for an edit. The output of "get" also has the
// version that was read.
type editFile struct {
	body       []byte
	version    uint64
	hasVersion bool
}

func readEditFile(name string) (editFile, error) {
	data, err := os.ReadFile(name) //nolint:gosec // path given by the operator
	if err != nil {
		return editFile{}, usageErrorf("--file: %v", err)
	}
	if !json.Valid(data) {
		return editFile{}, usageErrorf("--file: %s is not valid JSON", name)
	}
	var getOutput struct {
		Path    *string         `json:"path"`
		Version *uint64         `json:"version"`
		Body    json.RawMessage `json:"body"`
	}
	err = json.Unmarshal(data, &getOutput)
	if err == nil && getOutput.Path != nil && getOutput.Version != nil && getOutput.Body != nil {
		return editFile{body: getOutput.Body, version: *getOutput.Version, hasVersion: true}, nil
	}
	return editFile{body: bytes.TrimSpace(data)}, nil
}

// editFlags returns the flags common to the commands that change a section, and the
// extra ones.
func editFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force at every node"},
		&cli.BoolFlag{Name: "dry-run", Usage: "check the change without making it"},
		&cli.StringFlag{Name: "edit-id", Usage: "identity of the edit, to repeat one with an unknown outcome"},
		&cli.Uint64Flag{Name: "base", Usage: "version that the change replaces; default is that of the file, else the current one"},
	}, extra...)
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: "file", Usage: "JSON content, or the output of get with its version"}
}

// newEdit returns an edit of the current section. --edit-id and --base override its
// random edit ID and the current version.
func newEdit(cmd *cli.Command, current api.SectionBody) edit {
	e := edit{
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

// submitEdit sends the edit, prints the result or how to go on after a failure, and with
// --wait waits until the change is in force.
func (p *program) submitEdit(ctx context.Context, cmd *cli.Command, c *client, e edit) error {
	result, err := c.sendEdit(ctx, e)
	if err != nil {
		p.explainFailedEdit(ctx, c, e, err)
		return err
	}
	return p.reportResultAndWait(ctx, cmd, c, e, result)
}

// explainFailedEdit prints the section's current version after a conflict, and the flags
// that repeat the edit after an unknown outcome.
func (p *program) explainFailedEdit(ctx context.Context, c *client, e edit, err error) {
	switch ExitCode(err) {
	case ExitUnknown:
		_, _ = fmt.Fprintf(p.Err, "repeat the command with --edit-id %s --base %d\n", e.editID, e.version)
	case ExitConflict:
		current, readErr := c.fetchSection(ctx, e.section)
		if readErr != nil {
			_, _ = fmt.Fprintln(p.Err, "the newer version cannot be read:", readErr)
			return
		}
		if current.Version == 0 {
			_, _ = fmt.Fprintf(p.Err, "%s does not exist\n", e.section)
			return
		}
		_, _ = fmt.Fprintf(p.Err, "%s has version %d:\n%s\n", e.section, current.Version, normalizeJSON(hideKeys(e.section, current.Body)))
	}
}

// reportResultAndWait prints the result of an accepted edit, and with --wait waits until
// its revision is in force.
func (p *program) reportResultAndWait(ctx context.Context, cmd *cli.Command, c *client, e edit, result api.EditBody) error {
	asJSON, err := wantsJSON(cmd)
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
		return withExitCode(ExitError, errors.Wrap(err, "write the output"))
	}
	if result.DryRun || !cmd.Bool("wait") {
		return nil
	}
	return p.waitInForce(ctx, c, result.Revision)
}
