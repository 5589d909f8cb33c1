package settings

import (
	"encoding/json"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const validControl = `{"id":"c","zone":"z","data_dir":"d","mesh_listen":"10.0.0.1:82","api_listen":"[::1]:0","join":["10.0.0.2:7100"]}`

// FuzzParse guards against a panic on any settings file, against an error that does
// not name the file, and against accepted settings that change when they are encoded and
// parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validNode))
	f.Add([]byte(validControl))
	f.Add([]byte(`null`))
	f.Add([]byte(`{"control":[null],"stop_timeout_ms":1e99}`))
	f.Add([]byte(`{"id":"\ud800"}{`))
	f.Fuzz(func(t *testing.T, data []byte) {
		assertRoundTrip(t, data, &Node{}, &Node{})
		assertRoundTrip(t, data, &Control{}, &Control{})
	})
}

func assertRoundTrip(t *testing.T, data []byte, parsed, reparsed programSettings) {
	if err := parse("file.json", data, parsed); err != nil {
		var invalid *Error
		assert.Assert(t, errors.As(err, &invalid) && invalid.File == "file.json", "%v", err)
		return
	}
	encoded, err := json.Marshal(parsed)
	assert.NilError(t, err)
	assert.NilError(t, parse("file.json", encoded, reparsed))
	reencoded, err := json.Marshal(reparsed)
	assert.NilError(t, err)
	assert.Equal(t, string(reencoded), string(encoded))
}
