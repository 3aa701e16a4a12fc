// Command standin plays one case of the review against the project's programs, with stand-ins of the platform, the minions
// and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// scenario is a case: the racks of its minions, one minion each, and what happens once the system serves.
type scenario struct {
	racks []string
	play  func(s *System, trouble bool)
}

var scenarios = map[string]scenario{
	"frame":   {[]string{"r1-1", "r2-1"}, playFrame},
	"ends":    {[]string{"r1-1", "r2-1"}, playEnds},
	"refusal": {[]string{"r1-1", "r1-1", "r1-1", "r2-1", "r2-1", "r2-1", "r3-1", "r3-1", "r3-1", "r1-2", "r2-2"}, playRefusal},
	"foreign": {[]string{"r1-1", "r2-1"}, playForeign},
	"watch":   {[]string{"r1-1", "r2-1"}, playWatch},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status: 1 if a rule was broken, 0 if not, 2 if the case couldn't run.
func play(name, record string) int {
	c, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return 2
	}
	ledger, err := NewLedger(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the record can't be written:", err)
		return 2
	}
	s, err := NewSystem(ledger, c.racks)
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		ledger.Note("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		return 2
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.Close()
		os.Exit(2)
	}()
	c.play(s, os.Getenv("TROUBLE") != "0")
	return ledger.Finish()
}
