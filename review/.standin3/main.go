// Command standin plays the cases of the third review against the project's programs.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit bounds a case.
const timeLimit = 112 * time.Second

// play is a case: it plays it on a system and returns the number of violations.
type play func(s *system, trouble bool) int

var cases = map[string]struct {
	agents int
	play   play
}{
	"gang":    {11, playGang},
	"looping": {11, playLooping},
	"long":    {11, playLong},
	"memory":  {11, playMemory},
	"reborn":  {11, playReborn},
	"record":  {11, playRecord},
	"link":    {11, playLink},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, record string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newSystem(record, program, dir, c.agents, name == "link")
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-ended:
		case <-time.After(timeLimit):
		}
		s.stop()
		fmt.Fprintln(os.Stderr, "the case didn't end in time")
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	// An owner is elected within a second or two.
	time.Sleep(3 * time.Second)
	s.record("case %s, trouble %v", name, trouble)
	broken := c.play(s, trouble)
	s.record("violations: %d", broken)
	fmt.Printf("case %s, trouble %v: %d violations\n", name, trouble, broken)
	if broken > 0 {
		return 1
	}
	return 0
}

// traffic hands in an ordinary job every pause until the time is over, in the background of the samples.
func (s *system) traffic(d, pause time.Duration, choose func(i int) *job) {
	next, i := time.Now(), 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if now := time.Now(); !now.Before(next) {
			go s.submit(choose(i))
			i++
			next = next.Add(pause)
		}
		s.sample(time.Now(), false)
	}
	s.record("traffic ends")
}

// mixed returns jobs of all queues in turn.
func mixed(i int) *job { return ordinary(&queues[i%len(queues)]) }

// playGang hands in one gang that can never be placed, among ordinary jobs: its 22 work items need four accelerators each and may not
// share a minion, of which there are 11.
func playGang(s *system, trouble bool) int {
	s.traffic(20*time.Second, 900*time.Millisecond, func(i int) *job {
		if i == 1 && trouble {
			j := &job{queue: &queues[0], hopeless: true, work: work{Millis: 6800}}
			j.step = step{Count: 22, CPU: 52000, Mem: 60000, GPU: 4, Estimate: 6800, Gang: true, MaxPerServer: 1}
			return j
		}
		return mixed(i)
	})
	s.watch(finishTime, false)
	s.watch(8*time.Second, true)
	return s.verdict()
}

// playLooping hands in a lasting job whose work items fail soon after each start, among ordinary jobs.
func playLooping(s *system, trouble bool) int {
	s.traffic(20*time.Second, 900*time.Millisecond, func(i int) *job {
		if i == 1 && trouble {
			j := &job{queue: &queues[2], hopeless: true, work: work{FailMillis: 400}}
			j.step = step{Count: 40, CPU: 11000, Mem: 16000, GPU: 1, Estimate: 9500, LongRunning: true}
			return j
		}
		return mixed(i)
	})
	s.watch(finishTime, false)
	s.watch(8*time.Second, true)
	return s.verdict()
}

// playLong hands in a job whose work items take five minutes each, on the only minion of a rack.
func playLong(s *system, trouble bool) int {
	s.traffic(10*time.Second, 900*time.Millisecond, mixed)
	j := &job{queue: &queues[0], work: work{Millis: 20000}}
	if trouble {
		j.work.Millis = 300000
	}
	j.step = step{Count: 2, CPU: 26000, Mem: 60000, GPU: 2, Estimate: j.work.Millis, RequiredLabel: "r1-2"}
	s.submit(j)
	s.watch(finishTime, false)
	s.watch(40*time.Second, true)
	return s.verdict()
}
