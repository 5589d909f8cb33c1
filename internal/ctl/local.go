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

// tokenBytes is the length of a token before base64 encoding.
const tokenBytes = 32

// The kinds of files that the check command accepts.
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
		return usageErrorf("check takes [node|control|document] SETTINGS")
	}
	if kind == "" {
		kind = detectKind(args[0])
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
		return usageErrorf("the kind must be node, control or document, not %q", kind)
	}
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	_, _ = fmt.Fprintf(p.Out, "%s: valid %s\n", args[0], kindDescriptions[kind])
	return nil
}

// detectKind returns the kind of a file by fields that only one kind has, kindNode when
// there are none. It ignores errors because the check that follows reports them.
func detectKind(file string) string {
	data, err := os.ReadFile(file) //nolint:gosec // path given by the operator
	if err != nil {
		return kindNode
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return kindNode
	}
	kindByField := map[string]string{
		"data_dir": kindControl, "api_listen": kindControl, "bootstrap": kindControl, "join": kindControl,
		"teams": kindDocument, "services": kindDocument, "zones": kindDocument, "organisations": kindDocument,
	}
	for name, kind := range kindByField {
		if _, found := fields[name]; found {
			return kind
		}
	}
	return kindNode
}

var kindDescriptions = map[string]string{
	kindNode:     "settings of a node",
	kindControl:  "settings of a control member",
	kindDocument: "document",
}

func checkDocument(file string) error {
	data, err := os.ReadFile(file) //nolint:gosec // path given by the operator
	if err != nil {
		return errors.Wrap(err, "read the document file")
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
