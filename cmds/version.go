package cmds

import "fmt"

const version = "0.1.0"

type versionCmd struct{}

// Run prints the version of the binary.
func (versionCmd) Run(s streams) error {
	_, err := fmt.Fprintln(s.out, version)
	return err
}
