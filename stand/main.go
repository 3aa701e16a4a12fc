// Command stand runs test doubles of the systems around wagtailhoist: the platform, minions, callers and a TCP relay.
package main

import (
	"context"

	"github.com/alecthomas/kong"

	"wagtailhoist/stand/caller"
	"wagtailhoist/stand/minion"
	"wagtailhoist/stand/plat"
	"wagtailhoist/stand/relay"
	"wagtailhoist/stand/replay"
	"wagtailhoist/stand/serve"
)

type commands struct {
	Platform plat.Command   `cmd:"" help:"Run the store and the worker service."`
	Minion   minion.Command `cmd:"" help:"Run an HTTP back end."`
	Caller   caller.Command `cmd:"" help:"Send requests and verify the answers."`
	Relay    relay.Command  `cmd:"" help:"Run a TCP relay."`
	Replay   replay.Command `cmd:"" help:"Play load patterns against the scheduler in simulated time, and compare versions."`
}

func main() {
	var cli commands
	ctx, cancel := serve.Signal()
	defer cancel()
	cmd := kong.Parse(&cli, kong.Name("stand"), kong.BindTo(ctx, (*context.Context)(nil)))
	cmd.FatalIfErrorf(cmd.Run())
}
