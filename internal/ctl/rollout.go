package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chicorylever/chicorylever/internal/control/api"
)

func (p *program) rolloutCommand() *cli.Command {
	return &cli.Command{
		Name:   "rollout",
		Usage:  "move the requests of a service to another software version",
		Action: unknownCommand,
		Commands: []*cli.Command{
			{
				Name:      "start",
				Usage:     "start a rollout; the same command again changes nothing",
				ArgsUsage: "SERVICE VERSION",
				Flags:     []cli.Flag{&cli.DurationFlag{Name: "duration", Usage: "time from the start to the deadline"}},
				Action:    p.startRollout,
			},
			{Name: "status", Usage: "show the latest rollout of a service", ArgsUsage: "SERVICE", Action: p.rolloutStatus},
			{Name: "list", Usage: "show the latest rollout of each service", Action: p.listRollouts},
		},
	}
}

func (p *program) startRollout(ctx context.Context, cmd *cli.Command) error {
	args, err := requireArguments(cmd, "SERVICE", "VERSION")
	if err != nil {
		return err
	}
	if cmd.Duration("duration") < time.Millisecond {
		return usageErrorf("--duration must be at least 1ms")
	}
	c, err := clientFromFlags(cmd)
	if err != nil {
		return err
	}
	start := api.RolloutStartBody{Service: args[0], TargetVersion: args[1], DurationMs: cmd.Duration("duration").Milliseconds()}
	body, err := json.Marshal(start)
	if err != nil {
		return withExitCode(ExitError, err)
	}
	var result api.EditBody
	if err := c.do(ctx, request{method: http.MethodPost, path: "/v1/rollouts", body: body, mutating: true}, &result); err != nil {
		return err
	}
	return p.print(cmd, result, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "rollout of %s to %s accepted, version %d of its section\n", start.Service, start.TargetVersion, result.Version)
	})
}

func (p *program) rolloutStatus(ctx context.Context, cmd *cli.Command) error {
	args, err := requireArguments(cmd, "SERVICE")
	if err != nil {
		return err
	}
	c, err := clientFromFlags(cmd)
	if err != nil {
		return err
	}
	var r api.Rollout
	if err := c.do(ctx, request{method: http.MethodGet, path: "/v1/rollouts/" + url.PathEscape(args[0])}, &r); err != nil {
		return err
	}
	return p.print(cmd, r, func(w io.Writer) { printRollouts(w, []api.Rollout{r}) })
}

func (p *program) listRollouts(ctx context.Context, cmd *cli.Command) error {
	if _, err := requireArguments(cmd); err != nil {
		return err
	}
	c, err := clientFromFlags(cmd)
	if err != nil {
		return err
	}
	var list api.RolloutsBody
	if err := c.do(ctx, request{method: http.MethodGet, path: "/v1/rollouts"}, &list); err != nil {
		return err
	}
	return p.print(cmd, list, func(w io.Writer) { printRollouts(w, list.Rollouts) })
}

func printRollouts(w io.Writer, rollouts []api.Rollout) {
	writeTable(w, func(w io.Writer) {
		writeRow(w, "SERVICE", "TARGET", "STATE", "PHASE", "SHARE", "ELAPSED", "DURATION", "TARGET FAILED", "OTHER FAILED", "REASON")
		for i := range rollouts {
			r := &rollouts[i]
			elapsed := time.Duration(r.ElapsedMs) * time.Millisecond
			writeRow(w, r.Service, r.TargetVersion, r.State, r.Phase, fmt.Sprintf("%.1f%%", float64(r.SharePermille)/10), elapsed, r.Duration(),
				formatFailed(r.Target), formatFailed(r.Other), r.Reason)
		}
	})
}

func formatFailed(responses api.VersionResponses) string {
	return fmt.Sprintf("%d of %d", responses.Failed, responses.Responses)
}
