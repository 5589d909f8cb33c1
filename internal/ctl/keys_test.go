package ctl

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOutputHidesKeys guards against a key in the difference, conflict, error or history that
// chicoryctl prints, and against a difference that does not show that a key changes.
func TestOutputHidesKeys(t *testing.T) {
	const secret = "key-77ab01"
	f := newCLIFixture(t)
	f.writeFile("first", `{"owner":"ops","keys":["`+secret+`"]}`)
	f.writeFile("second", `{"owner":"ops","keys":["`+secret+`","`+secret+`-new"]}`)
	f.writeFile("invalid", `{"owner":"ops","keys":["`+secret+`","`+secret+`"]}`)
	var output strings.Builder
	run := func(exitCode int, arguments ...string) string {
		code, out, errOut := f.run("ops", arguments...)
		assert.Equal(t, code, exitCode, out+errOut)
		output.WriteString(out + errOut)
		return out + errOut
	}
	run(ExitOK, "edit", "organisations/o", "--file", "@first")
	difference := run(ExitOK, "edit", "organisations/o", "--file", "@second")
	assert.Assert(t, strings.Contains(difference, `+     "sha256:`), difference)
	conflict := run(ExitConflict, "apply", "organisations/o", "--file", "@first", "--base", "2")
	assert.Assert(t, strings.Contains(conflict, `"sha256:`), conflict)
	invalid := run(ExitRefused, "edit", "organisations/o", "--file", "@invalid")
	assert.Assert(t, strings.Contains(invalid, "organisations/o/keys/1"), invalid)
	run(ExitOK, "history")
	assert.Assert(t, !strings.Contains(output.String(), secret), output.String())
	_, read, _ := f.run("red", "get", "organisations/o")
	_, document, _ := f.run("red", "get")
	assert.Assert(t, strings.Contains(read, "organisations/o") && !strings.Contains(read+document, secret), read)
	_, read, _ = f.run("ops", "get", "organisations/o")
	assert.Assert(t, strings.Contains(read, secret+"-new"), read)
}
