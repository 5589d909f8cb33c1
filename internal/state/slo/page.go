package slo

import (
	"bytes"
	_ "embed" // the page is part of the program
	"encoding/json"
	"fmt"
	"html/template"
	"net/http"
	"strings"
	"time"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	// plotWidth and plotHeight are the size of the images in burn.html.
	plotWidth, plotHeight = 360, 60
	// plotHours and plotMinutes are the numbers of points of the two plots; a
	// point of the second covers fiveMinutes buckets.
	plotHours   = 72
	plotMinutes = 72
	fiveMinutes = 5
)

//go:embed burn.html
var burnPage string

var burnTemplate = template.Must(template.New("burn").Parse(burnPage))

// Objectives returns the objectives of the services.
type Objectives func() map[string]document.Objective

// Handler serves GET /v1/burn as JSON and GET /v1/burn.html as a page.
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

type pageService struct {
	ServiceReport
	Hours, Minutes plot
}

// plot is a line of burn rates in the coordinates of the SVG image.
type plot struct {
	Points string
	// Limit is the height of burn rate 1.
	Limit string
	Max   string
}

func (h *Handler) page(report Report, now time.Time) pageData {
	data := pageData{At: now.UTC().Format(time.RFC3339)}
	for _, service := range report.Services {
		hours, minutes := h.machine.history(service.Service, service.Objective, now)
		data.Services = append(data.Services, pageService{
			ServiceReport: service, Hours: newPlot(hours), Minutes: newPlot(minutes),
		})
	}
	return data
}

// history returns the burn rates of the last hours and of the last five-minute
// spans, oldest first.
func (m *Machine) history(service string, objective float64, now time.Time) (hours, spans []float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.series[service]
	if s == nil {
		s = newSeries()
	}
	for back := int64(plotHours - 1); back >= 0; back-- {
		hours = append(hours, burnRate(s.hours.at(now, back), objective))
	}
	for span := int64(plotMinutes - 1); span >= 0; span-- {
		var total Totals
		for minute := range int64(fiveMinutes) {
			total = total.plus(s.minutes.at(now, span*fiveMinutes+minute))
		}
		spans = append(spans, burnRate(total, objective))
	}
	return hours, spans
}

func newPlot(rates []float64) plot {
	top := 2.0
	for _, rate := range rates {
		top = max(top, rate)
	}
	y := func(rate float64) string { return fmt.Sprintf("%.1f", plotHeight*(1-rate/top)) }
	points := make([]string, len(rates))
	for i, rate := range rates {
		x := float64(plotWidth) * float64(i) / float64(max(1, len(rates)-1))
		points[i] = fmt.Sprintf("%.1f,%s", x, y(rate))
	}
	return plot{Points: strings.Join(points, " "), Limit: y(1), Max: fmt.Sprintf("%.1f", top)}
}
