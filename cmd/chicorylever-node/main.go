// Command chicorylever-node runs the load-balancing node beside an upstream.
package main

import (
	"github.com/chicorylever/chicorylever/internal/node"
	"github.com/chicorylever/chicorylever/internal/program"
)

func main() {
	program.Main("chicorylever-node", "load-balancing node beside an upstream", program.Node(node.Options{}))
}
