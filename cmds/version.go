package cmds

import "fmt"

// version is the version of the binary.
const version = "0.1.0"

type versionCmd struct{}

// Run prints the version of the binary.
func (versionCmd) Run(s streams) error {
	_, err := fmt.Fprintln(s.out, version)
	return err
}
