package proof

import (
	"testing"
	"time"
)

// faultCase is something that happens to a fleet of two entries and two agents under load.
type faultCase struct {
	name string
	// relayed puts a relay before agent 0.
	relayed bool
	// breaks says that callers' connections may break, because an entry is lost.
	breaks bool
	run    func(f *fleet)
}

// pauseTime is longer than the silence after which a link is given up (3 s).
const pauseTime = 4 * time.Second

const (
	// leastAnswered is how many requests have to be answered before a fault, and again after it.
	leastAnswered = 25
	// answeredLimit bounds the wait for them; it is no bound of the system.
	answeredLimit = time.Minute
)

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
	{name: "entry killed", breaks: true, run: func(f *fleet) {
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

// Whatever fails, a caller must never get a truncated answer, one of another request, or
// none at all; and no request may have run that was reported as not run (P3, P4).
func TestWholeAnswerOrOutcome(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			inLane(t)
			f := newFleet(t, 2, 2)
			if tc.relayed {
				f.relay(0)
			}
			l := startLoad("load", 6, 8*time.Second, f.entries...)
			// A fleet that refuses everything answers none. The load is counted and not timed, so that the
			// verdict does not depend on the speed of the machine.
			began := time.Now()
			eventually(t, answeredLimit, "requests are answered before the fault", func() bool { return l.answered(began) >= leastAnswered })
			tc.run(f)
			ended := time.Now()
			eventually(t, answeredLimit, "requests are answered after the fault", func() bool { return l.answered(ended) >= leastAnswered })
			results := l.finish()
			if tc.breaks {
				f.entries = f.entries[1:]
			}
			f.settle()
			t.Logf("%d requests: %v", len(results), outcomes(results))
			checkWhole(t, results, tc.breaks)
			checkRuns(t, results, f.ran())
		})
	}
}

// A request that runs while its link goes silent must get its answer over another link soon,
// not an unknown outcome at its deadline.
func TestSilentLinkIsReplaced(t *testing.T) {
	inLane(t)
	f := newFleet(t, 1, 1)
	f.relay(0)
	time.AfterFunc(time.Second, func() { f.fault(0, map[string]any{"mode": "silent", "count": 1}) })
	r := send(f.entries[0].url("listen"), request{
		id: "silent", method: "POST", body: 64, size: 200_000, service: 5 * time.Second, timeout: 15 * time.Second,
	})
	took := r.ended.Sub(r.sent)
	t.Logf("outcome %s after %v, runs %d", r.outcome, took, f.ran()["silent"])
	checkWhole(t, []result{r}, false)
	checkRuns(t, []result{r}, f.ran())
	if r.outcome != "answered" || took > 8*time.Second {
		t.Errorf("got %s after %v, want answered within 8s", r.outcome, took)
	}
}
