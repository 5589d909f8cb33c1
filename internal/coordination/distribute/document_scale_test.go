package distribute_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/distribute"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// benchmarkDocument returns a document of the target size; each value of edit gives one
// section different content.
func benchmarkDocument(edit int) []byte {
	doc := document.Document{
		Zones:    map[string]document.Zone{},
		Services: map[string]document.Service{},
		Limits:   document.DefaultLimits(),
	}
	for i := range 8 {
		doc.Zones[fmt.Sprint("zone-", i)] = document.Zone{Owner: "platform", State: document.ZoneIn}
	}
	for i := range targetServices {
		name := fmt.Sprint("service-", i)
		service := document.Service{
			Owner: fmt.Sprint("team-", i%40), Hosts: []string{name + ".example", name + ".internal.example"}, TimeoutMs: 5000,
			Rules: []document.RequestRule{
				{Methods: []string{"POST"}, PathPrefix: "/search", Repeatable: true, TimeoutMs: 800},
				{Methods: []string{"PUT", "DELETE"}, PathPrefix: "/items/", Repeatable: true},
			},
			Objective: document.Objective{GoodWithinMs: 300, Share: 0.999, WindowHours: 720},
			Measuring: document.Measuring{PerSecond: 1},
		}
		if i == edit%targetServices {
			service.TimeoutMs += edit + 1
		}
		doc.Services[name] = service
	}
	data, _ := json.Marshal(doc)
	return data
}

// BenchmarkDocument measures encoding and compares the size of the complete document with
// that of a diff of one section.
func BenchmarkDocument(b *testing.B) {
	first, _, err := distribute.NewSections().Advance(1, benchmarkDocument(0))
	assert.NilError(b, err)
	data := benchmarkDocument(1)
	var full, diff []byte
	for b.Loop() {
		second, _, err := first.Advance(2, data)
		assert.NilError(b, err)
		message, err := distribute.DocumentUpdate(second, 1)
		assert.NilError(b, err)
		diff, _ = frame.Encode(message)
		message, err = distribute.DocumentUpdate(second, 0)
		assert.NilError(b, err)
		full, _ = frame.Encode(message)
	}
	b.ReportMetric(float64(len(full)), "whole_bytes")
	b.ReportMetric(float64(len(diff)), "diff_bytes")
}
