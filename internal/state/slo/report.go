package slo

import (
	"sort"
	"time"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

// Alerts of a service, the most urgent first. The rules are those of the multi-
// window method: the long window shows that enough budget is burnt, the short
// one that it is still burning.
const (
	// AlertFast burns 2 % of a 30-day budget in an hour.
	AlertFast = "fast"
	// AlertSlow burns 5 % of a 30-day budget in six hours.
	AlertSlow = "slow"
	// AlertTicket burns 10 % of a 30-day budget in three days.
	AlertTicket = "ticket"
)

type alertRule struct {
	alert       string
	rate        float64
	long, short time.Duration
}

var alertRules = []alertRule{
	{AlertFast, 14.4, time.Hour, 5 * time.Minute},
	{AlertSlow, 6, 6 * time.Hour, 30 * time.Minute},
	{AlertTicket, 1, 72 * time.Hour, 6 * time.Hour},
}

// reportWindows are the windows of the report.
var reportWindows = []struct {
	name   string
	length time.Duration
}{
	{"5m", 5 * time.Minute}, {"1h", time.Hour}, {"6h", 6 * time.Hour}, {"3d", 72 * time.Hour},
}

// Report is the JSON body of GET /v1/burn.
type Report struct {
	Services []ServiceReport `json:"services"`
}

// ServiceReport is the state of one service with an objective.
type ServiceReport struct {
	Service string `json:"service"`
	// Objective is the share of responses that must be good.
	Objective float64 `json:"objective"`
	// Share is the share of good responses over the objective's window, 1
	// without responses.
	Share float64 `json:"share"`
	// BudgetLeft is the share of the error budget that is left over the
	// objective's window. It is negative when the objective is missed.
	BudgetLeft float64        `json:"budget_left"`
	Windows    []WindowReport `json:"windows"`
	// Alert is empty, fast, slow or ticket.
	Alert string `json:"alert"`
}

// WindowReport is the burn rate over a window. At rate 1 the budget lasts exactly
// for the objective's window.
type WindowReport struct {
	Window   string  `json:"window"`
	BurnRate float64 `json:"burn_rate"`
}

// NewReport returns the report at a time for the services with an objective, in
// order of their names.
func NewReport(m *Machine, objectives map[string]document.Objective, now time.Time) Report {
	report := Report{Services: []ServiceReport{}}
	for service, objective := range objectives {
		if objective.Share > 0 && objective.Share < 1 {
			report.Services = append(report.Services, m.reportService(service, objective, now))
		}
	}
	sort.Slice(report.Services, func(i, j int) bool { return report.Services[i].Service < report.Services[j].Service })
	return report
}

func (m *Machine) reportService(service string, objective document.Objective, now time.Time) ServiceReport {
	budget := m.Window(service, now, budgetWindow(objective))
	r := ServiceReport{
		Service:    service,
		Objective:  objective.Share,
		Share:      1 - badShare(budget),
		BudgetLeft: 1 - burnRate(budget, objective.Share),
	}
	for _, w := range reportWindows {
		rate := burnRate(m.Window(service, now, w.length), objective.Share)
		r.Windows = append(r.Windows, WindowReport{Window: w.name, BurnRate: rate})
	}
	for _, rule := range alertRules {
		if m.burns(service, objective.Share, now, rule) {
			r.Alert = rule.alert
			break
		}
	}
	return r
}

func (m *Machine) burns(service string, share float64, now time.Time, rule alertRule) bool {
	return burnRate(m.Window(service, now, rule.long), share) >= rule.rate &&
		burnRate(m.Window(service, now, rule.short), share) >= rule.rate
}

// budgetWindow returns the objective's window, at most what is kept.
func budgetWindow(objective document.Objective) time.Duration {
	return time.Duration(min(max(objective.WindowHours, 1), hourBuckets)) * time.Hour
}

func badShare(t Totals) float64 {
	if t.All() == 0 {
		return 0
	}
	return float64(t.Bad) / float64(t.All())
}

func burnRate(t Totals, objective float64) float64 {
	return badShare(t) / (1 - objective)
}
