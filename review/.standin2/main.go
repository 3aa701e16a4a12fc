// Command standin2 plays the cases 6 to 10 of the second review: it starts the project's programs as separate processes beside stand-ins
// for the platform's store, minions and consumers, and judges one rule by what these have seen.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit bounds the time of a case, which may take 120 s.
const limit = 116 * time.Second

// cases holds the cases by name. A case returns the breaks of its rule.
var cases = map[string]func(s *site) []string{
	"burst":    playBurst,
	"thaw":     playThaw,
	"lasting":  playLasting,
	"restart":  playRestart,
	"impostor": playImpostor,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play runs a case and returns the exit status.
func play(name, program, record string) (status int) {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	s := newSite(program, file)
	s.trouble = os.Getenv("TROUBLE") != "0"
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(limit):
		}
		s.record("could not run to its end")
		s.close()
		os.Exit(2)
	}()
	defer func() {
		if cause := recover(); cause != nil {
			setUp, ok := cause.(setUpError)
			if !ok {
				panic(cause)
			}
			s.record("could not run: %s", setUp)
			fmt.Println("could not run:", setUp)
			status = 2
		}
	}()
	begun := time.Now()
	breaks := cases[name](s)
	for _, b := range breaks {
		s.record("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	s.record("end after %.1f s, trouble %v, breaks %d", time.Since(begun).Seconds(), s.trouble, len(breaks))
	fmt.Printf("%s: trouble %v, %d breaks\n", name, s.trouble, len(breaks))
	if len(breaks) > 0 {
		return 1
	}
	return 0
}
