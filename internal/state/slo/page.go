package slo

import (
	"bytes"
	_ "embed" // embeds the page template
	"encoding/json"
	"fmt"
	"html/template"
	"net/http"
	"strings"
	"time"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	// plotWidth and plotHeight are the size of the SVG images in burn.html, in pixels.
	plotWidth, plotHeight = 360, 60
	// hourPoints and intervalPoints are the numbers of points of the two plots. A
	// point of the first covers one hour, a point of the second intervalMinutes.
	hourPoints      = 72
	intervalPoints  = 72
	intervalMinutes = 5
)

//go:embed burn.html
var burnPageSource string

var burnTemplate = template.Must(template.New("burn").Parse(burnPageSource))

// Objectives returns the objectives of the services.
type Objectives func() map[string]document.Objective

// Handler serves the burn-rate report: GET /v1/burn as JSON and GET /v1/burn.html as an
// HTML page.
type Handler struct {
	machine    *Machine
	objectives Objectives
	now        func() time.Time
}

// NewHandler returns the handler of the burn-rate report.
func NewHandler(machine *Machine, objectives Objectives, now func() time.Time) *Handler {
	return &Handler{machine: machine, objectives: objectives, now: now}
}

// ServeHTTP serves the page for paths that end in .html and JSON otherwise.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	now := h.now()
	report := NewReport(h.machine, h.objectives(), now)
	if !strings.HasSuffix(r.URL.Path, ".html") {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
		return
	}
	var page bytes.Buffer
	if err := burnTemplate.Execute(&page, h.page(report, now)); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_, _ = w.Write(page.Bytes())
}

type pageData struct {
	At       string
	Services []pageService
}

// pageService is a report with two plots of the burn rate: one point per hour in Hours, one
// per five-minute interval in Minutes.
type pageService struct {
	ServiceReport
	Hours, Minutes plot
}

// plot is a polyline of burn rates in the coordinates of the SVG image.
type plot struct {
	Points string
	// Limit is the y coordinate of burn rate 1.
	Limit string
	// Max is the burn rate at the upper edge.
	Max string
}

func (h *Handler) page(report Report, now time.Time) pageData {
	data := pageData{At: now.UTC().Format(time.RFC3339)}
	for _, service := range report.Services {
		hours, intervals := h.machine.burnRateHistory(service.Service, service.Objective, now)
		data.Services = append(data.Services, pageService{
			ServiceReport: service, Hours: newPlot(hours), Minutes: newPlot(intervals),
		})
	}
	return data
}

// burnRateHistory returns the burn rates of the last hours and of the last five-minute
// intervals, oldest first.
func (m *Machine) burnRateHistory(service string, objective float64, now time.Time) (hours, intervals []float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.series[service]
	if s == nil {
		s = newSeries()
	}
	for age := int64(hourPoints - 1); age >= 0; age-- {
		hours = append(hours, burnRate(s.hours.bucketCounts(now, age), objective))
	}
	for age := int64(intervalPoints - 1); age >= 0; age-- {
		var total ResponseCounts
		for minute := range int64(intervalMinutes) {
			total = total.plus(s.minutes.bucketCounts(now, age*intervalMinutes+minute))
		}
		intervals = append(intervals, burnRate(total, objective))
	}
	return hours, intervals
}

func newPlot(rates []float64) plot {
	maxRate := 2.0
	for _, rate := range rates {
		maxRate = max(maxRate, rate)
	}
	y := func(rate float64) string { return fmt.Sprintf("%.1f", plotHeight*(1-rate/maxRate)) }
	points := make([]string, len(rates))
	for i, rate := range rates {
		x := float64(plotWidth) * float64(i) / float64(max(1, len(rates)-1))
		points[i] = fmt.Sprintf("%.1f,%s", x, y(rate))
	}
	return plot{Points: strings.Join(points, " "), Limit: y(1), Max: fmt.Sprintf("%.1f", maxRate)}
}
