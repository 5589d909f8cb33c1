package document

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkTargetSize measures an edit and the snapshot with 360 services in 40
// teams and with history and edit results at their bounds.
func BenchmarkTargetSize(b *testing.B) {
	m := NewMachine()
	apply(b, m, firstCommand(b))
	for i := range 40 {
		section := fmt.Sprint("teams/team-", i)
		applyEdit(b, m, Edit{EditID: section, Team: "ops", Section: section, Body: []byte(`{"token_sha256":["` + fmt.Sprintf("%064x", i) + `"]}`)})
	}
	body := func(i, timeout int) []byte {
		return []byte(fmt.Sprintf(`{"owner":"team-%d","timeout_ms":%d,"hosts":["s%d.example"],"rules":[%s]}`, i%40, timeout, i,
			strings.Repeat(`{"methods":["POST"],"path_prefix":"/v1/things","repeatable":true},`, 4)+`{"repeatable":false}`))
	}
	for i := range 360 {
		section := fmt.Sprint("services/s", i)
		applyEdit(b, m, Edit{EditID: section, Team: "ops", Section: section, Body: body(i, 100)})
	}
	edits := 0
	edit := func() {
		i := edits % 360
		edits++
		section := fmt.Sprint("services/s", i)
		info, _, _ := m.View().Section(section, "")
		applyEdit(b, m, Edit{EditID: fmt.Sprintf("%032d", edits), Team: fmt.Sprint("team-", i%40), Section: section, Base: info.Version, Body: body(i, edits)})
	}
	for len(m.edits.order) < maxEditResults {
		edit()
	}
	b.Run("edit", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			edit()
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		for range b.N {
			data, err := m.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data))/1e6, "MB")
		}
	})
}
