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

// burnPageMode makes the HTML page readable by its owner only.
const burnPageMode = 0o600

// BurnReport is the response body of GET /v1/burn.
type BurnReport struct {
	Services []ServiceBurn `json:"services"`
}

// ServiceBurn is the state of one service's objective and error budget.
type ServiceBurn struct {
	Service string `json:"service"`
	// Objective is the required fraction of good requests, between 0 and 1.
	Objective float64 `json:"objective"`
	// Share is the measured fraction of good requests over the objective's window,
	// between 0 and 1.
	Share float64 `json:"share"`
	// BudgetLeft is the remaining fraction of the error budget: 1 when nothing is
	// spent, negative when the budget is overspent.
	BudgetLeft float64      `json:"budget_left"`
	Windows    []BurnWindow `json:"windows"`
	// Alert is the name of the firing alert, or empty.
	Alert string `json:"alert"`
}

// BurnWindow is the rate at which the error budget was spent over a recent window. At
// rate 1 the budget lasts exactly for the objective's window.
type BurnWindow struct {
	// Window is the length of the window, for example 5m or 72h.
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
				Action: p.burnReport,
			},
		},
	}
}

func (p *program) burnReport(ctx context.Context, cmd *cli.Command) error {
	c, err := clientFromFlags(cmd)
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
	return p.print(cmd, report, func(w io.Writer) { printBurnReport(w, report) })
}

func (c *client) saveBurnPage(ctx context.Context, file string) error {
	var page []byte
	if err := c.do(ctx, request{method: http.MethodGet, path: "/v1/burn.html"}, &page); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(file, page, burnPageMode), "write the HTML page")
}

func printBurnReport(w io.Writer, report BurnReport) {
	writeTable(w, func(w io.Writer) {
		writeRow(w, "SERVICE", "OBJECTIVE", "GOOD", "BUDGET LEFT", "BURN RATES", "ALERT")
		for _, s := range report.Services {
			writeRow(w, s.Service, formatPercent(s.Objective), formatPercent(s.Share), formatPercent(s.BudgetLeft), formatBurnRates(s.Windows), s.Alert)
		}
	})
}

func formatBurnRates(windows []BurnWindow) string {
	rates := make([]string, 0, len(windows))
	for _, window := range windows {
		rates = append(rates, fmt.Sprintf("%s %.2f", window.Window, window.BurnRate))
	}
	return strings.Join(rates, ", ")
}

func formatPercent(fraction float64) string { return fmt.Sprintf("%.3f%%", fraction*100) }
