package main

import (
	"strings"
	"sync"
	"time"
)

const (
	// lateBy is how much later a held-up order is carried out, downTime how long a crashed minion is down.
	lateBy, downTime = 3 * time.Second, 1500 * time.Millisecond
)

// playReborn holds up one order to start a work item, and crashes its minion, which starts again under its id. The rule: two runs of one
// work item at the same time, on minions that are up.
func playReborn(s *system, trouble bool) int {
	for round := range 3 {
		s.watch(time.Second, false)
		j := &job{queue: &queues[0], work: work{Millis: 8000}, step: step{Count: 1, CPU: 52000, Mem: 60000, GPU: 8, Estimate: 8000}}
		var once sync.Once
		crash, down := 100*time.Millisecond, downTime
		if round == 1 {
			crash, down = 1200*time.Millisecond, 200*time.Millisecond
		}
		if round == 2 {
			crash = 1200 * time.Millisecond
		}
		for i, g := range s.gates {
			g.hold = func(path string, c *minionCall) time.Duration {
				held := time.Duration(0)
				if !trouble || path != "/run-start" || !strings.HasPrefix(c.Task, j.id) {
					return 0
				}
				once.Do(func() {
					held = lateBy
					time.AfterFunc(crash, func() { s.restart(i, down) })
				})
				return held
			}
		}
		s.submit(j)
		s.watch(12*time.Second, false)
		s.record("round %d ends", round+1)
	}
	s.verdict()
	return len(s.doubled)
}

// restart crashes a minion and starts it again under its id.
func (s *system) restart(i int, down time.Duration) {
	old := s.minions[i]
	s.gates[i].crash()
	time.Sleep(down)
	m := newMinion(s, old.id, old.zone, old.rack)
	m.control = old.control
	if err := s.gates[i].up(m); err != nil {
		s.record("platform: minion %s can't start: %v", m.id, err)
		return
	}
	s.mu.Lock()
	s.minions[i] = m
	s.mu.Unlock()
	s.record("minion %s of %d: started again", m.id, m.born)
	go m.beat()
}
