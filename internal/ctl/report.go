package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// pageMode lets only the operator read the page.
const pageMode = 0o600

// BurnReport answers GET /v1/burn.
type BurnReport struct {
	Services []ServiceBurn `json:"services"`
}

// ServiceBurn is the state of one service's objective.
type ServiceBurn struct {
	Service string `json:"service"`
	// Objective is the share of requests that must be good, between 0 and 1.
	Objective float64 `json:"objective"`
	// Share of good requests over the objective's window, between 0 and 1.
	Share float64 `json:"share"`
	// BudgetLeft is the part of the error budget that is left: 1 when nothing is
	// spent, negative when it is overspent.
	BudgetLeft float64      `json:"budget_left"`
	Windows    []BurnWindow `json:"windows"`
	// Alert is empty, or names the alert that is raised.
	Alert string `json:"alert"`
}

// BurnWindow is the rate at which a recent window spends the budget; at 1 the
// budget lasts exactly for the objective's window.
type BurnWindow struct {
	// Window is its length, for example 5m or 72h.
	Window   string  `json:"window"`
	BurnRate float64 `json:"burn_rate"`
}

func (p *program) reportCommand() *cli.Command {
	return &cli.Command{
		Name:   "report",
		Usage:  "print reports",
		Action: unknownCommand,
		Commands: []*cli.Command{
			{
				Name:   "burn",
				Usage:  "show how fast each service spends its error budget",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "html", Usage: "write a page with plots to `FILE`"}},
				Action: p.burn,
			},
		},
	}
}

func (p *program) burn(ctx context.Context, cmd *cli.Command) error {
	c, err := connect(cmd)
	if err != nil {
		return err
	}
	if file := cmd.String("html"); file != "" {
		return c.saveBurnPage(ctx, file)
	}
	var report BurnReport
	if err := c.do(ctx, request{method: http.MethodGet, path: "/v1/burn"}, &report); err != nil {
		return err
	}
	return p.print(cmd, report, func(w io.Writer) { printBurn(w, report) })
}

func (c *client) saveBurnPage(ctx context.Context, file string) error {
	var page []byte
	if err := c.do(ctx, request{method: http.MethodGet, path: "/v1/burn.html"}, &page); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(file, page, pageMode), "write the page")
}

func printBurn(w io.Writer, report BurnReport) {
	table(w, func(w io.Writer) {
		row(w, "SERVICE", "OBJECTIVE", "GOOD", "BUDGET LEFT", "BURN RATES", "ALERT")
		for _, s := range report.Services {
			row(w, s.Service, percent(s.Objective), percent(s.Share), percent(s.BudgetLeft), burnRates(s.Windows), s.Alert)
		}
	})
}

func burnRates(windows []BurnWindow) string {
	rates := make([]string, 0, len(windows))
	for _, window := range windows {
		rates = append(rates, fmt.Sprintf("%s %.2f", window.Window, window.BurnRate))
	}
	return strings.Join(rates, ", ")
}

func percent(share float64) string { return fmt.Sprintf("%.3f%%", share*100) }
