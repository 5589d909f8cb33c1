package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

const validNode = `{"id":"n","zone":"z","entry_listen":"10.0.0.1:80","local_listen":"127.0.0.1:81",` +
	`"mesh_listen":"10.0.0.1:82","admin_listen":"10.0.0.1:83","control":["10.0.0.2:7100"]}`

// TestParseNode guards against accepting settings with an unknown field or an invalid
// value, and against errors that do not name the field.
func TestParseNode(t *testing.T) {
	tests := []struct {
		name, old, replacement string
		wantProblem            string
	}{
		{"valid", "", "", ""},
		{"unknown field", `"id"`, `"idd"`, `unknown field "idd"`},
		{"wrong type", `"z"`, `7`, "zone: must be string, not number"},
		{"empty name", `"n"`, `""`, "id: must not be empty"},
		{"host name", "10.0.0.1:80", "example.org:80", "entry_listen: host must be an IP address"},
		{"not loopback", "127.0.0.1:81", "10.0.0.1:81", "local_listen: must be a loopback address"},
		{"port", "10.0.0.2:7100", "10.0.0.2:71000", "control[0]: port must be between 0 and 65535"},
		{"no control", `["10.0.0.2:7100"]`, `[]`, "control: must name at least one address"},
		{"log level", `"id":"n"`, `"id":"n","log_level":"loud"`, "log_level: must be debug, info, warn or error"},
		{"negative", `"id":"n"`, `"id":"n","stop_timeout_ms":-1`, "stop_timeout_ms: must be at least 1"},
		{"negative quota slack", `"id":"n"`, `"id":"n","quota_slack":-1`, "quota_slack: must not be negative"},
		{"upstream address", `"id":"n"`, `"id":"n","upstream_address":"example.org:80"`, "upstream_address: host must be an IP address"},
		{"little memory", `"id":"n"`, `"id":"n","memory_limit_mb":95`, "memory_limit_mb: must be at least 96"},
		{"memory", `"id":"n"`, `"id":"n","memory_limit_mb":96,"max_descriptors":64`, ""},
		{"few descriptors", `"id":"n"`, `"id":"n","max_descriptors":63`, "max_descriptors: must be at least 64"},
		{"a key twice", `"id":"n"`, `"id":"m","id":"n"`, "/id occurs twice"},
		{"trailing data", `"id":"n"`, `"id":"n"} {"id":"n"`, "data after"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := parse("node.json", []byte(strings.Replace(validNode, test.old, test.replacement, 1)), &Node{})
			if test.wantProblem == "" {
				assert.NilError(t, err)
				return
			}
			var invalid *Error
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			assert.ErrorContains(t, err, test.wantProblem)
			assert.ErrorContains(t, err, "node.json: ")
		})
	}
}

// TestToleratedLosses guards against a number of voters that no cluster should have, and against a
// cluster that tolerates no loss because the setting is omitted.
func TestToleratedLosses(t *testing.T) {
	for losses, problem := range map[int]string{-1: "must be between 0 and 4", 0: "", 1: "", 4: "", 5: "must be between 0 and 4"} {
		s := &Control{
			ID: "c", Zone: "z", DataDir: "d", MeshListen: "10.0.0.1:1", APIListen: "10.0.0.1:2", Bootstrap: []string{"10.0.0.1:1"},
			ToleratedLosses: losses,
		}
		s.setDefaults()
		assert.Assert(t, losses != 0 || s.ToleratedLosses == defaultToleratedLosses)
		invalid := s.check()
		if problem == "" {
			assert.Assert(t, invalid == nil, "%v", invalid)
			continue
		}
		assert.Assert(t, invalid != nil)
		assert.Equal(t, invalid.Field, "tolerated_losses")
		assert.Equal(t, invalid.Problem, problem)
	}
}

// TestExamples guards against example files that the programs reject.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"moreton", "kingfisher"} {
		dir := filepath.Join("../../examples", deployment)
		_, err := LoadNode(filepath.Join(dir, "node.json"))
		assert.NilError(t, err)
		_, err = LoadControl(filepath.Join(dir, "control.json"))
		assert.NilError(t, err)
		data, err := os.ReadFile(filepath.Join(dir, "document.json"))
		assert.NilError(t, err)
		_, err = document.Parse(data)
		assert.NilError(t, err)
	}
}

// jsonBlock matches a JSON block of a documentation page; the word after json is the kind
// of its content.
var jsonBlock = regexp.MustCompile("(?s)```json ([a-z]+)\n(.*?)```")

// TestDocumentationBlocks guards against documentation pages whose settings or documents
// the programs reject.
func TestDocumentationBlocks(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	assert.NilError(t, err)
	for _, page := range append(pages, "../../README.md") {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(data), "```json\n"), "%s: a JSON block does not name the kind of its content", page)
		for _, match := range jsonBlock.FindAllStringSubmatch(string(data), -1) {
			assert.NilError(t, parseBlock(page, match[1], []byte(match[2])))
		}
	}
}

func parseBlock(page, kind string, data []byte) error {
	switch kind {
	case "node":
		return parse(page, data, &Node{})
	case "control":
		return parse(page, data, &Control{})
	case "document":
		_, err := document.Parse(data)
		return errors.WithMessage(err, page)
	default:
		return errors.Errorf("%s: unknown kind of JSON block %q", page, kind)
	}
}
