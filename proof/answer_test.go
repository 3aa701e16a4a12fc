package proof

import (
	"testing"
	"time"
)

// faultCase is a fault or a combination of faults of a fleet of two entries and two agents under load.
type faultCase struct {
	name string
	// relayed makes the entries reach agent 0 through a relay.
	relayed bool
	// mayBreak permits broken connections of callers, because entry 0 is killed.
	mayBreak bool
	run      func(f *fleet)
}

// pauseTime exceeds the 3 s of silence after which a peer closes a link.
const pauseTime = 4 * time.Second

const (
	// minAnswered is the number of requests that have to be answered before a fault, and again after it.
	minAnswered = 25
	// answeredTimeout limits the test's wait for these answers; it is not a bound that the system guarantees.
	answeredTimeout = time.Minute
)

// faultCases are the cases of TestWholeAnswerOrOutcome.
var faultCases = []faultCase{
	{name: "agent killed and replaced", run: func(f *fleet) {
		f.agents[0].kill()
		time.Sleep(time.Second)
		f.restartAgent(0)
	}},
	{name: "agent paused", run: func(f *fleet) {
		f.agents[0].pause()
		time.Sleep(pauseTime)
		f.agents[0].resume()
	}},
	{name: "minion killed and replaced", run: func(f *fleet) {
		f.minions[0].kill()
		time.Sleep(time.Second)
		f.restartMinion(0)
	}},
	{name: "minion paused", run: func(f *fleet) {
		f.minions[0].pause()
		time.Sleep(pauseTime)
		f.minions[0].resume()
	}},
	{name: "entry killed", mayBreak: true, run: func(f *fleet) {
		f.entries[0].kill()
	}},
	{name: "entry paused", run: func(f *fleet) {
		f.entries[0].pause()
		time.Sleep(pauseTime)
		f.entries[0].resume()
	}},
	{name: "link silent", relayed: true, run: func(f *fleet) {
		f.fault(0, map[string]any{"mode": "silent", "count": 1})
		time.Sleep(pauseTime)
	}},
	{name: "all links held", relayed: true, run: func(f *fleet) {
		f.fault(0, map[string]any{"mode": "hold"})
		time.Sleep(1500 * time.Millisecond)
		f.fault(0, map[string]any{"mode": "clear"})
	}},
	{name: "link silent and other agent killed", relayed: true, run: func(f *fleet) {
		f.fault(0, map[string]any{"mode": "silent", "count": 1})
		f.agents[1].kill()
		time.Sleep(2 * time.Second)
		f.restartAgent(1)
	}},
	{name: "agent paused and other minion killed", run: func(f *fleet) {
		f.agents[0].pause()
		f.minions[1].kill()
		time.Sleep(pauseTime)
		f.agents[0].resume()
		f.restartMinion(1)
	}},
	{name: "entry paused and agent killed", run: func(f *fleet) {
		f.entries[0].pause()
		f.agents[0].kill()
		time.Sleep(time.Second)
		f.restartAgent(0)
		time.Sleep(pauseTime - time.Second)
		f.entries[0].resume()
	}},
	{name: "agent killed twice", run: func(f *fleet) {
		for range 2 {
			f.agents[0].kill()
			time.Sleep(500 * time.Millisecond)
			f.restartAgent(0)
			time.Sleep(500 * time.Millisecond)
		}
	}},
}

// Whichever process or link fails, a caller must get the complete answer to its request or an explicit outcome, never a
// truncated answer, that of another request or none (P3). A request that is reported as not run must not have run (P4).
func TestWholeAnswerOrOutcome(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			limitFleets(t)
			f := newFleet(t, 2, 2)
			if tc.relayed {
				f.addRelay(0)
			}
			l := startLoad("load", 6, 8*time.Second, f.entries...)
			// Without answers before and after the fault, the checks below would pass for a fleet that refuses all
			// requests. Counting answers instead of waiting for a time makes the test independent of machine speed.
			began := time.Now()
			eventually(t, answeredTimeout, "requests are answered before the fault", func() bool { return l.answered(began) >= minAnswered })
			tc.run(f)
			ended := time.Now()
			eventually(t, answeredTimeout, "requests are answered after the fault", func() bool { return l.answered(ended) >= minAnswered })
			results := l.finish()
			if tc.mayBreak {
				f.entries = f.entries[1:]
			}
			f.awaitAnswers()
			t.Logf("%d requests: %v", len(results), outcomes(results))
			checkAnswers(t, results, tc.mayBreak)
			checkExecutions(t, results, f.executionCounts())
		})
	}
}

// If the link of a running request goes silent, the entry has to open a new link and fetch the answer through it.
// Otherwise the caller would get an unknown outcome at its deadline.
func TestSilentLinkIsReplaced(t *testing.T) {
	limitFleets(t)
	f := newFleet(t, 1, 1)
	f.addRelay(0)
	time.AfterFunc(time.Second, func() { f.fault(0, map[string]any{"mode": "silent", "count": 1}) })
	r := send(f.entries[0].url("listen"), request{
		id: "silent", method: "POST", body: 64, size: 200_000, service: 5 * time.Second, timeout: 15 * time.Second,
	})
	took := r.ended.Sub(r.sent)
	t.Logf("outcome %s after %v, runs %d", r.outcome, took, f.executionCounts()["silent"])
	checkAnswers(t, []result{r}, false)
	checkExecutions(t, []result{r}, f.executionCounts())
	if r.outcome != "answered" || took > 8*time.Second {
		t.Errorf("got %s after %v, want answered within 8s", r.outcome, took)
	}
}
