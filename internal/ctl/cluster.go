package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/chicorylever/chicorylever/internal/control/api"
	"github.com/chicorylever/chicorylever/internal/coordination/replica"
)

// writeRow writes one line of tab-separated columns.
func writeRow(w io.Writer, columns ...any) {
	for i, column := range columns {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, column)
	}
	_, _ = fmt.Fprintln(w)
}

// writeTable aligns the columns of the rows that writeRows writes.
func writeTable(w io.Writer, writeRows func(w io.Writer)) {
	tabs := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRows(tabs)
	_ = tabs.Flush()
}

func (p *program) statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "show members, nodes and upstreams", Action: func(ctx context.Context, cmd *cli.Command) error {
		status, err := fetchStatus(ctx, cmd)
		if err != nil {
			return err
		}
		return p.print(cmd, status, func(w io.Writer) { printStatus(w, status) })
	}}
}

func fetchStatus(ctx context.Context, cmd *cli.Command) (api.StatusBody, error) {
	var status api.StatusBody
	if _, err := requireArguments(cmd); err != nil {
		return status, err
	}
	c, err := clientFromFlags(cmd)
	if err != nil {
		return status, err
	}
	return status, c.do(ctx, request{method: http.MethodGet, path: "/v1/status"}, &status)
}

func printStatus(w io.Writer, status api.StatusBody) {
	cluster := status.Cluster
	_, _ = fmt.Fprintf(w, "revision %d, answered by member %d, leader %d, term %d, quorum %t, list of nodes stale %t\n",
		status.Revision, cluster.ID, cluster.Leader, cluster.Term, cluster.QuorumContact, status.Fleet.Stale)
	printMembers(w, cluster)
	if cluster.SilentVoters > 0 {
		_, _ = fmt.Fprintf(w, "%d of %d voters do not respond\n", cluster.SilentVoters, cluster.VoterCount())
	}
	writeTable(w, func(w io.Writer) {
		writeRow(w, "NODE", "ZONE", "REVISION", "LAGGING")
		for _, n := range status.Fleet.Nodes {
			writeRow(w, n.ID, n.Zone, n.Revision, n.Lagging)
		}
	})
	writeTable(w, func(w io.Writer) {
		writeRow(w, "UPSTREAM", "SERVICE", "ZONE", "NODE", "STATE")
		for _, u := range status.Fleet.Upstreams {
			writeRow(w, u.Instance, u.Service, u.Zone, u.Node, u.State)
		}
	})
}

func printMembers(w io.Writer, cluster replica.Status) {
	writeTable(w, func(w io.Writer) {
		writeRow(w, "MEMBER", "ADDRESS", "ROLE")
		for _, m := range cluster.Members {
			writeRow(w, m.ID, m.Address, memberRole(m, cluster.Leader))
		}
	})
}

func memberRole(m replica.Member, leader uint64) string {
	switch {
	case m.ID == leader:
		return "leader"
	case m.Learner:
		return "learner"
	}
	return "voter"
}

func (p *program) historyCommand() *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "show the latest changes",
		ArgsUsage: "[SECTION]",
		Flags:     []cli.Flag{&cli.IntFlag{Name: "limit", Value: 20, Usage: "number of changes, at most 1000"}},
		Action:    p.history,
	}
}

func (p *program) history(ctx context.Context, cmd *cli.Command) error {
	c, err := clientFromFlags(cmd)
	if err != nil {
		return err
	}
	query := url.Values{"limit": {strconv.Itoa(cmd.Int("limit"))}, "section": {cmd.Args().First()}}
	var history api.HistoryBody
	if err := c.do(ctx, request{method: http.MethodGet, path: "/v1/history?" + query.Encode()}, &history); err != nil {
		return err
	}
	return p.print(cmd, history, func(w io.Writer) {
		writeTable(w, func(w io.Writer) {
			writeRow(w, "REVISION", "TIME", "TEAM", "ACTION", "SECTION", "FIELDS")
			for _, h := range history.Changes {
				writeRow(w, h.Revision, time.UnixMilli(h.AtMs).UTC().Format(time.RFC3339), h.Team, h.Action, h.Section, strings.Join(h.Fields, ","))
			}
		})
	})
}

func (p *program) memberCommand() *cli.Command {
	return &cli.Command{
		Name:   "member",
		Usage:  "list, add and remove control members",
		Action: unknownCommand,
		Commands: []*cli.Command{
			{Name: "list", Usage: "show the members", Action: p.listMembers},
			{Name: "add", Usage: "add a member, which votes once it has caught up", ArgsUsage: "ID IP:PORT", Action: p.addMember},
			{Name: "remove", Usage: "remove a member", ArgsUsage: "ID", Action: p.removeMember},
		},
	}
}

func (p *program) listMembers(ctx context.Context, cmd *cli.Command) error {
	status, err := fetchStatus(ctx, cmd)
	if err != nil {
		return err
	}
	return p.print(cmd, status.Cluster.Members, func(w io.Writer) { printMembers(w, status.Cluster) })
}

func (p *program) addMember(ctx context.Context, cmd *cli.Command) error {
	args, err := requireArguments(cmd, "ID", "IP:PORT")
	if err != nil {
		return err
	}
	id, err := parseMemberID(args[0])
	if err != nil {
		return err
	}
	body, err := json.Marshal(replica.Member{ID: id, Address: args[1]})
	if err != nil {
		return withExitCode(ExitError, errors.Wrap(err, "encode the new member"))
	}
	return p.sendMembershipChange(ctx, cmd, request{method: http.MethodPost, path: "/v1/members", body: body, mutating: true})
}

func (p *program) removeMember(ctx context.Context, cmd *cli.Command) error {
	args, err := requireArguments(cmd, "ID")
	if err != nil {
		return err
	}
	id, err := parseMemberID(args[0])
	if err != nil {
		return err
	}
	return p.sendMembershipChange(ctx, cmd, request{method: http.MethodDelete, path: fmt.Sprintf("/v1/members/%d", id), mutating: true})
}

func parseMemberID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil || id == 0 {
		return 0, usageErrorf("ID must be a positive number, not %q", text)
	}
	return id, nil
}

// sendMembershipChange sends a request that adds or removes a member. Retries are safe:
// the API reports success for a change that was already made.
func (p *program) sendMembershipChange(ctx context.Context, cmd *cli.Command, r request) error {
	c, err := clientFromFlags(cmd)
	if err != nil {
		return err
	}
	var cluster replica.Status
	if err := c.do(ctx, r, &cluster); err != nil {
		return err
	}
	return p.print(cmd, cluster, func(w io.Writer) { printMembers(w, cluster) })
}
