// Command wagtailhoist runs the processes of the scheduler and the operators' commands.
package main

import (
	"os"

	"wagtailhoist/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
