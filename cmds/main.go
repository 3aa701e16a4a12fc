package cmds

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Exit codes of the binary.
const (
	exitOK    = 0
	exitFail  = 1
	exitUsage = 2
)

// commands are the commands of the binary; the field names are their names on the command line.
type commands struct {
	Entry   entryCmd   `cmd:"" help:"Run an entry."`
	Agent   agentCmd   `cmd:"" help:"Run an agent."`
	Desk    deskCmd    `cmd:"" help:"Run an entry of the users' platform, which accepts jobs by id."`
	Runner  runnerCmd  `cmd:"" help:"Run the agent of a worker of the users' platform, which runs the tasks of jobs."`
	Check   checkCmd   `cmd:"" help:"Check a declaration."`
	Apply   applyCmd   `cmd:"" help:"Apply a declaration."`
	Query   queryCmd   `cmd:"" help:"Query the state, or make a change."`
	Drain   drainCmd   `cmd:"" help:"Drain and stop a process."`
	Status  statusCmd  `cmd:"" help:"Show the processes."`
	Trace   traceCmd   `cmd:"" help:"Print the log lines about a job."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// streams are the output streams of a command: standard output and standard error.
type streams struct {
	out io.Writer
	err io.Writer
}

// Main runs the command named in args and returns the exit code of the process.
func Main(args []string, stdout, stderr io.Writer) int {
	var cli commands
	code := -1
	parser, err := kong.New(&cli,
		kong.Name("wagtailhoist"),
		kong.Description("Schedules multi-accelerator jobs under team guarantees and routes requests to minions."),
		kong.Writers(stdout, stderr),
		kong.DefaultEnvars(envPrefix),
		kong.Exit(func(c int) { code = c }),
	)
	if err != nil {
		fmt.Fprintln(stderr, "wagtailhoist:", err)
		return exitFail
	}
	ctx, err := parse(parser, args, environ())
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintln(stderr, "wagtailhoist:", err)
		return exitUsage
	}
	if err := ctx.Run(streams{out: stdout, err: stderr}); err != nil {
		fmt.Fprintln(stderr, "wagtailhoist:", err)
		return exitCode(err)
	}
	return exitOK
}
