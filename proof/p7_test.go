package proof

import (
	"fmt"
	"testing"
	"time"
)

// longRequest sends one POST that takes the given time at the minion.
func longRequest(f *fleet, n int, service time.Duration) *load {
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

// A planned stop of an agent, or of one after the other, must not cost any caller its answer.
func TestStoppingAgentsInterruptsNothing(t *testing.T) {
	inLane(t)
	f := newFleet(t, 2, 2)
	f.relay(0)
	f.fault(0, map[string]any{"mode": "slow", "delay": 300})
	l := startLoad("load", 4, 8*time.Second, f.entries...)
	var long []*load
	for n := range 4 {
		long = append(long, longRequest(f, n, 4*time.Second))
	}
	time.Sleep(500 * time.Millisecond)
	for n := range f.agents {
		f.agents[n].stop()
		f.restartAgent(n)
		time.Sleep(1500 * time.Millisecond) // the entries hear of the new process
	}
	results := l.finish()
	for _, one := range long {
		results = append(results, one.finish()...)
	}
	checkAllAnswered(t, f, results)
}

// A request that is on its way when an idle agent stops must get a refusal, by which it can
// go elsewhere. A port that is closed by then would leave its outcome unknown.
func TestStoppingIdleAgentLosesNothing(t *testing.T) {
	inLane(t)
	f := newFleet(t, 2, 2)
	f.relay(0)
	f.fault(0, map[string]any{"mode": "slow", "delay": 300})
	time.Sleep(time.Second)
	var sent []*load
	for n := range 8 {
		sent = append(sent, longRequest(f, n, 2*serviceTime))
	}
	time.Sleep(50 * time.Millisecond) // sent, and not yet at the agent
	f.agents[0].stop()
	var results []result
	for _, one := range sent {
		results = append(results, one.finish()...)
	}
	checkAllAnswered(t, f, results)
}

// A planned stop of an entry must not cost any caller its answer; callers go to another entry when it is not ready.
func TestStoppingEntryInterruptsNothing(t *testing.T) {
	inLane(t)
	f := newFleet(t, 2, 2)
	l := startLoad("load", 4, 8*time.Second, f.entries[1])
	var long []*load
	for n := range 6 { // half of them at the entry that stops
		long = append(long, longRequest(f, n, 3*time.Second))
	}
	early := startLoad("early", 2, 8*time.Second, f.entries[0])
	time.Sleep(500 * time.Millisecond)
	time.AfterFunc(500*time.Millisecond, func() { early.stop.Store(true) }) // the balancer has seen that it is not ready
	f.entries[0].stop()
	results := append(l.finish(), early.finish()...)
	for _, one := range long {
		results = append(results, one.finish()...)
	}
	checkAllAnswered(t, f, results)
}

func checkAllAnswered(t *testing.T, f *fleet, results []result) {
	t.Helper()
	t.Logf("%d requests: %v", len(results), outcomes(results))
	checkWhole(t, results, false)
	checkRuns(t, results, f.ran())
	for _, r := range results {
		if r.outcome != "answered" {
			t.Errorf("%s %s: got %s (%s) %v, want an answer", r.method, r.id, r.outcome, r.reason, r.err)
		}
	}
}
