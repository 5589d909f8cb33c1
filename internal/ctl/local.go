package ctl

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/chicorylever/chicorylever/internal/control/api"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// tokenBytes is the length of the random part of a token.
const tokenBytes = 32

// The kinds of files that can be checked.
const (
	kindNode     = "node"
	kindControl  = "control"
	kindDocument = "document"
)

func (p *program) checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file or a first document; without a kind it is taken from the fields",
		ArgsUsage: "[node|control|document] SETTINGS",
		Action: func(_ context.Context, cmd *cli.Command) error {
			return p.check(cmd.Args().Slice())
		},
	}
}

func (p *program) check(args []string) error {
	kind := ""
	if len(args) == 2 {
		kind = args[0]
		args = args[1:]
	}
	if len(args) != 1 {
		return usage("check takes [node|control|document] SETTINGS")
	}
	if kind == "" {
		kind = settingsKind(args[0])
	}
	var err error
	switch kind {
	case kindNode:
		_, err = settings.LoadNode(args[0])
	case kindControl:
		_, err = settings.LoadControl(args[0])
	case kindDocument:
		err = checkDocument(args[0])
	default:
		return usage("the kind must be node, control or document, not %q", kind)
	}
	if err != nil {
		return fail(ExitUsage, err)
	}
	_, _ = fmt.Fprintf(p.Out, "%s: valid %s\n", args[0], kindNames[kind])
	return nil
}

// settingsKind looks for fields that only one kind of file has. A file that cannot
// be read is left to the check itself.
func settingsKind(file string) string {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the settings file
	if err != nil {
		return kindNode
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return kindNode
	}
	kinds := map[string]string{
		"data_dir": kindControl, "api_listen": kindControl, "bootstrap": kindControl, "join": kindControl,
		"teams": kindDocument, "services": kindDocument, "zones": kindDocument,
	}
	for name, kind := range kinds {
		if _, found := fields[name]; found {
			return kind
		}
	}
	return kindNode
}

var kindNames = map[string]string{
	kindNode:     "settings of a node",
	kindControl:  "settings of a control member",
	kindDocument: "document",
}

func checkDocument(file string) error {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return errors.Wrap(err, "read the document")
	}
	_, err = document.Parse(data)
	return errors.WithMessage(err, file)
}

type tokenOutput struct {
	Token  string `json:"token"`
	SHA256 string `json:"sha256"`
}

func (p *program) tokenCommand() *cli.Command {
	return &cli.Command{
		Name:  "token",
		Usage: "print a new random token and its SHA-256 for teams/NAME",
		Action: func(_ context.Context, cmd *cli.Command) error {
			random := make([]byte, tokenBytes)
			_, _ = rand.Read(random) // never fails
			token := base64.RawURLEncoding.EncodeToString(random)
			output := tokenOutput{token, api.TokenDigest(token)}
			return p.print(cmd, output, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "token   %s\nsha256  %s\n", output.Token, output.SHA256)
			})
		},
	}
}
