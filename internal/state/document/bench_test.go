package document

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkTargetSize measures an edit and a snapshot at the design target: 360 services of
// 40 teams, with the history and the kept edit results at their bounds.
func BenchmarkTargetSize(b *testing.B) {
	m := NewMachine()
	apply(b, m, bootstrapCommand(b))
	for i := range 40 {
		section := fmt.Sprint("teams/team-", i)
		applyEdit(b, m, Edit{EditID: section, Team: "ops", Section: section, Body: []byte(`{"token_sha256":["` + fmt.Sprintf("%064x", i) + `"]}`)})
	}
	body := func(i, timeoutMs int) []byte {
		return []byte(fmt.Sprintf(`{"owner":"team-%d","timeout_ms":%d,"hosts":["s%d.example"],"rules":[%s]}`, i%40, timeoutMs, i,
			strings.Repeat(`{"methods":["POST"],"path_prefix":"/v1/things","repeatable":true},`, 4)+`{"repeatable":false}`))
	}
	for i := range 360 {
		section := fmt.Sprint("services/s", i)
		applyEdit(b, m, Edit{EditID: section, Team: "ops", Section: section, Body: body(i, 100)})
	}
	editCount := 0
	applyNextEdit := func() {
		i := editCount % 360
		editCount++
		section := fmt.Sprint("services/s", i)
		info, _, _ := m.View().Section(section, "")
		applyEdit(b, m, Edit{EditID: fmt.Sprintf("%032d", editCount), Team: fmt.Sprint("team-", i%40), Section: section, Base: info.Version, Body: body(i, editCount)})
	}
	for len(m.edits.queue) < maxEditResults {
		applyNextEdit()
	}
	b.Run("edit", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			applyNextEdit()
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
