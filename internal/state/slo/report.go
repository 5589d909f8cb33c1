package slo

import (
	"sort"
	"time"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

// Alerts of a service, the most urgent first. The rules follow the multiwindow,
// multi-burn-rate method: the long window shows that enough of the error budget is
// consumed, the short one that it is still being consumed.
const (
	// AlertFast is raised when 2 % of a 30-day budget is consumed in an hour.
	AlertFast = "fast"
	// AlertSlow is raised when 5 % of a 30-day budget is consumed in six hours.
	AlertSlow = "slow"
	// AlertTicket is raised when 10 % of a 30-day budget is consumed in three days.
	AlertTicket = "ticket"
)

// alertRule raises an alert when the burn rate is at least minBurnRate over both windows.
type alertRule struct {
	alert                   string
	minBurnRate             float64
	longWindow, shortWindow time.Duration
}

var alertRules = []alertRule{
	{AlertFast, 14.4, time.Hour, 5 * time.Minute},
	{AlertSlow, 6, 6 * time.Hour, 30 * time.Minute},
	{AlertTicket, 1, 72 * time.Hour, 6 * time.Hour},
}

// reportWindows are the windows for which a report contains the burn rate.
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

// ServiceReport is the error budget, burn rates and alert of one service.
type ServiceReport struct {
	Service string `json:"service"`
	// Objective is the share of responses that must be good.
	Objective float64 `json:"objective"`
	// Share is the share of good responses over the objective's window, or 1 if
	// there were no responses.
	Share float64 `json:"share"`
	// BudgetLeft is the share of the error budget that is left over the
	// objective's window. It is negative when the objective is missed.
	BudgetLeft float64        `json:"budget_left"`
	Windows    []WindowReport `json:"windows"`
	// Alert is AlertFast, AlertSlow, AlertTicket or empty.
	Alert string `json:"alert"`
}

// WindowReport is the burn rate over a window. At burn rate 1 the error budget lasts
// exactly for the objective's window.
type WindowReport struct {
	Window   string  `json:"window"`
	BurnRate float64 `json:"burn_rate"`
}

// NewReport returns the report for the time now. It contains the services that have an
// objective, sorted by name.
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
	counts := m.WindowCounts(service, now, budgetWindow(objective))
	r := ServiceReport{
		Service:    service,
		Objective:  objective.Share,
		Share:      1 - badShare(counts),
		BudgetLeft: 1 - burnRate(counts, objective.Share),
	}
	for _, w := range reportWindows {
		rate := burnRate(m.WindowCounts(service, now, w.length), objective.Share)
		r.Windows = append(r.Windows, WindowReport{Window: w.name, BurnRate: rate})
	}
	for _, rule := range alertRules {
		if m.exceedsRule(service, objective.Share, now, rule) {
			r.Alert = rule.alert
			break
		}
	}
	return r
}

// exceedsRule reports whether the burn rate is at least rule.minBurnRate over both windows.
func (m *Machine) exceedsRule(service string, objective float64, now time.Time, rule alertRule) bool {
	return burnRate(m.WindowCounts(service, now, rule.longWindow), objective) >= rule.minBurnRate &&
		burnRate(m.WindowCounts(service, now, rule.shortWindow), objective) >= rule.minBurnRate
}

// budgetWindow returns the objective's window, limited to between one hour and the span
// of the hour buckets.
func budgetWindow(objective document.Objective) time.Duration {
	return time.Duration(min(max(objective.WindowHours, 1), hourBuckets)) * time.Hour
}

func badShare(counts ResponseCounts) float64 {
	if counts.All() == 0 {
		return 0
	}
	return float64(counts.Bad) / float64(counts.All())
}

func burnRate(counts ResponseCounts, objective float64) float64 {
	return badShare(counts) / (1 - objective)
}
