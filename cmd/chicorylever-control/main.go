// Command chicorylever-control runs a control member.
package main

import (
	"github.com/chicorylever/chicorylever/internal/control"
	"github.com/chicorylever/chicorylever/internal/program"
)

func main() {
	program.Main("chicorylever-control", "control member with the durable state", program.Control(control.Options{}))
}
