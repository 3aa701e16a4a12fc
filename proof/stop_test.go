package proof

import (
	"fmt"
	"testing"
	"time"
)

// startLongRequest starts a load of one POST that runs for the given time at the minion.
func startLongRequest(f *fleet, n int, service time.Duration) *load {
	l := &load{}
	target := f.entries[n%len(f.entries)].url("listen")
	l.wait.Go(func() {
		r := send(target, request{id: fmt.Sprintf("long-%d", n), method: "POST", body: 100, size: 100_000, service: service, timeout: service + 8*time.Second})
		l.mu.Lock()
		defer l.mu.Unlock()
		l.results = append(l.results, r)
	})
	return l
}

// When the agents are stopped and replaced one after the other, every request has to be answered.
func TestStoppingAgentsInterruptsNothing(t *testing.T) {
	limitFleets(t)
	f := newFleet(t, 2, 2)
	f.addRelay(0)
	f.fault(0, map[string]any{"mode": "slow", "delay": 300})
	l := startLoad("load", 4, 8*time.Second, f.entries...)
	var long []*load
	for n := range 4 {
		long = append(long, startLongRequest(f, n, 4*time.Second))
	}
	time.Sleep(500 * time.Millisecond)
	for n := range f.agents {
		f.agents[n].stop()
		f.restartAgent(n)
		time.Sleep(1500 * time.Millisecond) // the entries learn of the new process
	}
	results := l.finish()
	for _, one := range long {
		results = append(results, one.finish()...)
	}
	checkAllAnswered(t, f, results)
}

// An idle agent that stops must still refuse requests that are on their way to it, so that the entry can send them to
// another agent. If its port were closed by then, their outcome would be unknown.
func TestStoppingIdleAgentLosesNothing(t *testing.T) {
	limitFleets(t)
	f := newFleet(t, 2, 2)
	f.addRelay(0)
	f.fault(0, map[string]any{"mode": "slow", "delay": 300})
	time.Sleep(time.Second)
	var sent []*load
	for n := range 8 {
		sent = append(sent, startLongRequest(f, n, 2*defaultServiceTime))
	}
	time.Sleep(50 * time.Millisecond) // the requests are sent but have not reached the agent
	f.agents[0].stop()
	var results []result
	for _, one := range sent {
		results = append(results, one.finish()...)
	}
	checkAllAnswered(t, f, results)
}

// Every request to a stopping entry has to be answered. As behind a load balancer, new requests go to the other entry
// soon after the stopping one is no longer ready.
func TestStoppingEntryInterruptsNothing(t *testing.T) {
	limitFleets(t)
	f := newFleet(t, 2, 2)
	l := startLoad("load", 4, 8*time.Second, f.entries[1])
	var long []*load
	for n := range 6 { // half of them at the entry that stops
		long = append(long, startLongRequest(f, n, 3*time.Second))
	}
	early := startLoad("early", 2, 8*time.Second, f.entries[0])
	time.Sleep(500 * time.Millisecond)
	time.AfterFunc(500*time.Millisecond, func() { early.stop.Store(true) }) // the load balancer has noticed that the entry is not ready
	f.entries[0].stop()
	results := append(l.finish(), early.finish()...)
	for _, one := range long {
		results = append(results, one.finish()...)
	}
	checkAllAnswered(t, f, results)
}

// checkAllAnswered fails the test unless all requests were answered completely and ran at most once.
func checkAllAnswered(t *testing.T, f *fleet, results []result) {
	t.Helper()
	t.Logf("%d requests: %v", len(results), outcomes(results))
	checkAnswers(t, results, false)
	checkExecutions(t, results, f.executionCounts())
	for _, r := range results {
		if r.outcome != "answered" {
			t.Errorf("%s %s: got %s (%s) %v, want an answer", r.method, r.id, r.outcome, r.reason, r.err)
		}
	}
}
