package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

// maxKeyBytes bounds what is read from standard input as a key.
const maxKeyBytes = 16 << 10

func (p *program) explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show where a node would send a request now, and why, without sending it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "URL of the admin address of the node of entry"},
			&cli.StringFlag{Name: "host", Usage: "host of the request"},
			&cli.StringFlag{Name: "path", Value: "/", Usage: "path of the request"},
			&cli.StringFlag{Name: "method", Value: http.MethodGet, Usage: "method of the request"},
			&cli.StringFlag{Name: "organisation", Usage: "name of the caller's organisation"},
			&cli.BoolFlag{Name: "key-stdin", Usage: "read the caller's key from standard input"},
			&cli.StringFlag{Name: "zone", Usage: "availability zone of entry; default that of the node"},
		},
		Action: p.explain,
	}
}

func (p *program) explain(ctx context.Context, cmd *cli.Command) error {
	if _, err := requireArguments(cmd); err != nil {
		return err
	}
	if cmd.String("node") == "" || cmd.String("host") == "" {
		return usageErrorf("--node and --host are required")
	}
	asked := httpapi.ExplainRequest{
		Host: cmd.String("host"), Path: cmd.String("path"), Method: cmd.String("method"),
		Organisation: cmd.String("organisation"), Zone: cmd.String("zone"),
	}
	if cmd.Bool("key-stdin") {
		key, err := io.ReadAll(io.LimitReader(cmd.Root().Reader, maxKeyBytes))
		if err != nil {
			return withExitCode(ExitError, errors.Wrap(err, "read the key"))
		}
		asked.Key = strings.TrimSpace(string(key))
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	explanation, err := askNode(ctx, cmd.String("node"), asked)
	if err != nil {
		return err
	}
	return p.print(cmd, explanation, func(w io.Writer) { printExplanation(w, explanation) })
}

// askNode sends the request to the admin address of a node.
func askNode(ctx context.Context, nodeURL string, asked httpapi.ExplainRequest) (*httpapi.Explanation, error) {
	body, err := json.Marshal(asked)
	if err != nil {
		return nil, withExitCode(ExitError, errors.Wrap(err, "encode the request"))
	}
	url := strings.TrimRight(nodeURL, "/") + "/v1/explain"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, usageErrorf("--node: %v", err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, withExitCode(ExitError, err)
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if response.StatusCode != http.StatusOK {
		var problem httpapi.ErrorBody
		_ = decoder.Decode(&problem) // the status says enough without a message
		return nil, withExitCode(ExitRefused, errors.Errorf("%s: %s", response.Status, problem.Error))
	}
	explanation := &httpapi.Explanation{}
	if err := decoder.Decode(explanation); err != nil {
		return nil, withExitCode(ExitError, errors.Wrap(err, "decode the response"))
	}
	return explanation, nil
}

func printExplanation(w io.Writer, e *httpapi.Explanation) {
	line := func(name string, value any) { _, _ = fmt.Fprintf(w, "%-13s %v\n", name, value) }
	line("node", fmt.Sprintf("%s in zone %s, revision %d", e.Node, e.Zone, e.Revision))
	if e.Service != "" {
		line("service", fmt.Sprintf("%s, addressed by %s %s", e.Service, e.AddressedBy, e.Route))
	}
	if len(e.Split) > 1 {
		line("split", e.Split)
	}
	if e.Organisation != "" {
		line("organisation", e.Organisation)
		line("priority", e.Priority)
	}
	if e.Quota != nil {
		line("quota", fmt.Sprintf("%.1f/s, burst %.0f, %.0f %% of its requests admitted, known for %d ms", e.Quota.RequestsPerSecond, e.Quota.Burst, 100*e.Quota.Share, e.Quota.GrantAgeMs))
	}
	for i := range e.Candidates {
		line("candidate", candidateText(&e.Candidates[i]))
	}
	if e.Chosen != "" {
		line("chosen", e.Chosen)
	}
	if r := e.Refusal; r != nil {
		line("refusal", fmt.Sprintf("%d %s: %s", r.Status, r.Reason, r.Error))
		if r.RetryAfterSeconds > 0 {
			line("retry-after", fmt.Sprintf("%.1f s", r.RetryAfterSeconds))
		}
	}
}

// candidateText describes an instance in one line.
func candidateText(c *httpapi.ExplainedCandidate) string {
	text := fmt.Sprintf("%s zone=%s(%s) state=%s running=%d queued=%d limit=%d own=%d wait=%.1fms score=%.1fms",
		c.Instance, c.Zone, c.ZoneState, c.State, c.Running, c.Queued, c.Limit, c.OwnInFlight, c.WaitMs, c.ScoreMs)
	switch {
	case c.Answered:
		text += " answered"
	case c.ReportAgeMs >= 0:
		text += fmt.Sprintf(" no answer, report %d ms old", c.ReportAgeMs)
	default:
		text += " no answer, nothing known"
	}
	if c.Ejected {
		text += " ejected"
	}
	if c.Cold {
		text += " warming up"
	}
	return text
}
