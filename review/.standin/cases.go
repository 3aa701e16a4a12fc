package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Bounds of the rules, as on the site's sheet.
const (
	// finishTime is how long after the end of the traffic jobs are asked for.
	finishTime = 14 * time.Second
	// idleTime is how long a job whose turn has come may then have nothing running while there is room.
	idleTime = 3 * time.Second
	// contactTime is how long a machine must have run undisturbed to be in touch.
	contactTime = 4 * time.Second
	// pendingAge is the age from which the number of pending jobs must include a job.
	pendingAge = 5 * time.Second
)

// checkServed checks the rule LOST finishTime after the end of the traffic: each job has ended, or something of it runs at
// some time within idleTime. All minions are healthy and the jobs need less than a quarter of their room.
func (s *System) checkServed(queue string, ids []string) {
	s.Ledger.Note("the traffic has ended")
	time.Sleep(finishTime)
	idle := map[string][]string{}
	served := map[string]bool{}
	for end := time.Now().Add(idleTime + 500*time.Millisecond); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, id := range ids {
			if served[id] {
				continue
			}
			state := s.State(1, queue, id)
			idle[id] = append(idle[id], state)
			served[id] = state == "completed" || s.Ledger.Runs(id) > 0
		}
	}
	for _, id := range ids {
		if !served[id] {
			s.Ledger.Break("LOST: job %s has nothing running for %v while there is room; shown as %s", id, idleTime, idle[id][0])
		}
	}
}

// noteLater records which of the jobs are still not completed after some time.
func (s *System) noteLater(queue string, ids []string, wait time.Duration) {
	time.Sleep(wait)
	for _, id := range ids {
		s.Ledger.Note("job %s: %s", id, s.State(1, queue, id))
	}
}

// playFrame kills the leading desk while 16 jobs with the longest allowed spec come. The next leader places them at once.
func playFrame(s *System, trouble bool) {
	s.Submit(0, "price", bystander, jobBody("20s", step{"count": 1, "cpu": 1000, "memMb": 128, "estimateMs": 20000}))
	time.Sleep(500 * time.Millisecond)
	leader := s.Leader()
	if trouble {
		s.Desks[leader].signal(syscall.SIGKILL)
		<-s.Desks[leader].done
		s.Ledger.Note("desk %d, which leads, is killed", leader)
	}
	spec := "1s|"
	spec += strings.Repeat("x", 4000-len(spec))
	var ids []string
	for i := range 16 {
		id := fmt.Sprintf("%016x", 0xc0+i)
		if s.Submit(leader+1+i%2, "plan", id, jobBody(spec, step{"count": 100, "cpu": 50, "memMb": 64, "estimateMs": 1000})) {
			ids = append(ids, id)
		}
		time.Sleep(30 * time.Millisecond)
	}
	if trouble {
		time.Sleep(2700 * time.Millisecond)
		if err := s.Desks[leader].start(); err != nil {
			s.Ledger.Note("desk %d can't be started again: %v", leader, err)
		}
		s.Ledger.Note("desk %d is started again", leader)
	}
	s.checkServed("plan", ids)
	if trouble {
		s.noteLater("plan", ids, 20*time.Second)
		s.noteLater("price", []string{bystander}, 0)
	}
}

// bystander is a job that runs while the trouble comes.
const bystander = "00000000000000b0"

// playEnds makes the store slow while twelve jobs of 100 short work items end on one minion.
func playEnds(s *System, trouble bool) {
	var ids []string
	for i := range 12 {
		id := fmt.Sprintf("%016x", 0xa0+i)
		if s.Submit(0, "plan", id, jobBody("4s", step{"count": 100, "cpu": 100, "memMb": 128, "estimateMs": 4000})) {
			ids = append(ids, id)
		}
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		s.Ledger.Note("the store is slow")
		s.Store.SetSlow(60)
		time.Sleep(4500 * time.Millisecond)
		s.Store.SetSlow(1)
		s.Ledger.Note("the store answers in time again")
	}
	s.checkServed("plan", ids)
	for _, m := range s.Minions {
		s.Ledger.Note("%s had at most %d ends that were not taken note of", m.ID, m.mostEnds)
	}
}

// playRefusal lets a minion stall, refuse a start and become healthy again while the store is silent for 1.7 s.
func playRefusal(s *System, trouble bool) {
	m := s.Minions[len(s.Minions)-1]
	// All minions are known to the leader by then.
	time.Sleep(2 * time.Second)
	if trouble {
		m.SetHealth(stalled)
	}
	id := "00000000000000e0"
	s.Submit(0, "plan", id, jobBody("1s", step{
		"count": 1, "cpu": 26000, "memMb": 60000, "gpu": 2, "estimateMs": 1000, "requiredLabel": m.Rack,
	}))
	if trouble {
		time.Sleep(500 * time.Millisecond)
		s.Ledger.Note("the store is silent")
		s.Store.SetDown(true)
		time.Sleep(1200 * time.Millisecond)
		m.SetHealth(busy)
		time.Sleep(400 * time.Millisecond)
		m.SetHealth(healthy)
		time.Sleep(100 * time.Millisecond)
		s.Store.SetDown(false)
		s.Ledger.Note("the store answers again")
	}
	s.checkServed("plan", []string{id})
	if trouble {
		s.noteLater("plan", []string{id}, 20*time.Second)
	}
}

// playForeign sends one status report of another writer to the node beside a minion while work runs there.
func playForeign(s *System, trouble bool) {
	id := "00000000000000f0"
	s.Submit(0, "plan", id, jobBody("6s", step{"count": 2, "cpu": 15000, "memMb": 9000, "estimateMs": 6000}))
	time.Sleep(2 * time.Second)
	for _, m := range s.Minions {
		if !trouble || m.running() == 0 {
			continue
		}
		body, _ := json.Marshal(map[string]any{
			"service": "another", "address": m.Address, "zone": m.Zone, "version": "v1", "slots": 8, "state": "ready", "sequence": 1,
			"born": time.Now().UnixMilli(), "clockMs": 1000, "labels": []string{"a"}, "capacity": map[string]int64{"cpu": 1000, "memMb": 1000},
		})
		req, err := http.NewRequest(http.MethodPut, "http://"+m.Control+"/instances/i-0000000001", bytes.NewReader(body))
		if err != nil {
			continue
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			s.Ledger.Note("status report of another writer at the node of %s: %d", m.ID, resp.StatusCode)
			_ = resp.Body.Close()
		}
	}
	s.checkServed("plan", []string{id})
}

// playWatch stops a desk that doesn't lead for 4 s while a wide job runs, and asks it for the number of pending jobs later.
func playWatch(s *System, trouble bool) {
	s.Submit(0, "urgent", "00000000000000a1", jobBody("1s~30", step{"count": 7500, "cpu": 400, "memMb": 100, "estimateMs": 1000}))
	time.Sleep(2 * time.Second)
	desk := (s.Leader() + 1) % len(s.Desks)
	if trouble {
		s.Ledger.Note("desk %d, which doesn't lead, is stopped", desk)
		s.Desks[desk].signal(syscall.SIGSTOP)
	}
	time.Sleep(time.Second)
	var ids []string
	for i := range 10 {
		id := fmt.Sprintf("%016x", 0xb1+i)
		if s.Submit(desk+1+i%2, "price", id, jobBody("1s", step{"count": 1, "cpu": 128000, "memMb": 100, "estimateMs": 1000})) {
			ids = append(ids, id)
		}
	}
	accepted := time.Now()
	time.Sleep(3 * time.Second)
	if trouble {
		s.Desks[desk].signal(syscall.SIGCONT)
		s.Ledger.Note("desk %d goes on", desk)
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	for range 6 {
		time.Sleep(max(0, pendingAge+100*time.Millisecond-time.Since(accepted)))
		for i := range s.Desks {
			pending := s.Pending(i, "price")
			// Jobs that have not begun by now had not begun when the desk answered.
			waiting := 0
			for _, id := range ids {
				if !s.Ledger.Begun(id) {
					waiting++
				}
			}
			s.Ledger.Note("desk %d: %d pending; %d jobs have not begun", i, pending, waiting)
			if pending >= 0 && 2*pending < waiting {
				s.Ledger.Break("MIXED: desk %d gives %d jobs as pending while %d that were accepted over %v before have not begun",
					i, pending, waiting, pendingAge)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
}
