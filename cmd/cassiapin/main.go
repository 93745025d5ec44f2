// Command cassiapin is a model-aware request router: node, operator tools, demo
// and stand-ins in one binary.
package main

import (
	"os"

	"cassiapin/pkg/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:]))
}
