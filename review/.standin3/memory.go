package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// deskMemory is the memory of an entry's machine; a process that exceeds it is killed. restartDelay is how long after its end a process is
// started again.
const (
	deskMemory   = 284 << 20
	restartDelay = time.Second
	// manyJobs are handed in, one each manyPause. manyItems is the number of work items of each.
	manyJobs, manyItems = 120, 8000
	manyPause           = 250 * time.Millisecond
	// memoryTime is how long the desks are watched.
	memoryTime = 85 * time.Second
)

// memory returns the memory of a process in bytes, without the pages of its program file.
func (p *process) memory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "RssAnon:")
	var kilobytes int64
	_, _ = fmt.Sscan(rest, &kilobytes)
	return kilobytes << 10
}

// guard kills a desk that exceeds the memory of its machine, and starts it again, until the time is over. It returns how often each was
// killed, and the most memory of any.
func (s *system) guard(end time.Time) (map[string]int, int64) {
	kills, most := map[string]int{}, int64(0)
	logged := map[string]int64{}
	for ; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, p := range s.desks {
			select {
			case <-p.gone:
				if p.ended.IsZero() {
					p.ended = time.Now()
					s.record("platform: %s has ended", p.name)
				}
				if time.Since(p.ended) >= restartDelay {
					p.ended = time.Time{}
					_ = s.startProcess(p)
				}
				continue
			default:
			}
			n := p.memory()
			most = max(most, n)
			if n/(20<<20) != logged[p.name]/(20<<20) {
				logged[p.name] = n
				s.record("platform: %s has %d MB", p.name, n>>20)
			}
			if n > deskMemory {
				s.record("platform: %s has %d MB, more than its machine; it is killed", p.name, n>>20)
				kills[p.name]++
				_ = p.cmd.Process.Kill()
				<-p.gone
			}
		}
	}
	return kills, most
}

// playMemory hands in jobs of 8,000 work items each. The rule: on a tenth of the machines in use, two at least,
// processes end by themselves three times.
func playMemory(s *system, trouble bool) int {
	begun := time.Now()
	go func() {
		for i := range manyJobs {
			j := ordinary(&queues[2])
			if trouble {
				j.step.Count = manyItems
			}
			s.submit(j)
			time.Sleep(time.Until(begun.Add(time.Duration(i+1) * manyPause)))
		}
		s.record("traffic ends")
	}()
	kills, most := s.guard(begun.Add(memoryTime))
	machines := 0
	for name, n := range kills {
		s.record("end: %s was killed %d times", name, n)
		if n >= 3 {
			machines++
		}
	}
	accepted, completed := 0, 0
	s.mu.Lock()
	for _, j := range s.list {
		if j.accepted {
			accepted++
		}
		if j.done == j.step.Count {
			completed++
		}
	}
	s.mu.Unlock()
	s.record("end: %d jobs handed in, %d accepted, %d completed; most memory of a desk %d MB", len(s.list), accepted, completed, most>>20)
	if machines >= max(2, (len(s.desks)+len(s.agents)+9)/10) {
		return machines
	}
	return 0
}
