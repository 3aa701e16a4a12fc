package proof

import (
	"syscall"
	"testing"
	"time"
)

// refusalCases are events that make the only agent of a fleet refuse or lose requests under load.
var refusalCases = []struct {
	name string
	run  func(f *fleet)
}{
	{"more requests than slots", func(*fleet) { time.Sleep(2 * time.Second) }},
	{"minion killed", func(f *fleet) {
		f.minions[0].kill()
		time.Sleep(time.Second)
		f.restartMinion(0)
	}},
	{"minion killed twice", func(f *fleet) {
		for range 2 {
			f.minions[0].kill()
			time.Sleep(300 * time.Millisecond)
			f.restartMinion(0)
			time.Sleep(300 * time.Millisecond)
		}
	}},
	{"agent killed", func(f *fleet) {
		f.agents[0].kill()
		time.Sleep(time.Second)
		f.restartAgent(0)
	}},
	{"agent paused past the deadline of requests", func(f *fleet) {
		f.agents[0].pause()
		time.Sleep(pauseTime)
		f.agents[0].resume()
		time.Sleep(time.Second)
	}},
	{"agent drains", func(f *fleet) {
		f.agents[0].signal(syscall.SIGTERM)
		time.Sleep(2 * time.Second)
		<-f.agents[0].done
		f.restartAgent(0)
	}},
	{"all links held", func(f *fleet) {
		f.fault(0, map[string]any{"mode": "hold"})
		time.Sleep(2500 * time.Millisecond)
		f.fault(0, map[string]any{"mode": "clear"})
		time.Sleep(time.Second)
	}},
}

// A caller sends a request with the outcome not-run again elsewhere. If the first one did run or ran later, the request
// would take effect twice (P4).
func TestNotRunDidNotRun(t *testing.T) {
	for _, tc := range refusalCases {
		t.Run(tc.name, func(t *testing.T) {
			limitFleets(t)
			f := newFleet(t, 1, 1)
			f.addRelay(0)
			l := startLoad("load", 24, 3*time.Second, f.entries...)
			time.Sleep(300 * time.Millisecond)
			tc.run(f)
			time.Sleep(300 * time.Millisecond)
			results := l.finish()
			// A request that was reported as not-run while it was still queued would run within its deadline.
			time.Sleep(3 * time.Second)
			f.awaitAnswers()
			got := outcomes(results)
			t.Logf("%d requests: %v", len(results), got)
			checkAnswers(t, results, false)
			checkExecutions(t, results, f.executionCounts())
			if got["not-run"] == 0 {
				t.Error("no request was refused, so the case checks nothing")
			}
		})
	}
}

// A Begin message that arrives after the Fence message for its attempt must not start the request: by then the entry
// has reported the outcome to the caller or has sent the request again.
func TestOvertakenBeginDoesNotRun(t *testing.T) {
	limitFleets(t)
	f := newFleet(t, 1, 1)
	f.addRelay(0)
	f.fault(0, map[string]any{"mode": "slow", "delay": 2500})
	time.AfterFunc(300*time.Millisecond, func() { f.fault(0, map[string]any{"mode": "clear"}) })
	r := send(f.entries[0].url("listen"), request{id: "late", method: "POST", body: 64, timeout: 6 * time.Second})
	checkAnswers(t, []result{r}, false)
	time.Sleep(2 * time.Second) // the delayed Begin has arrived
	t.Logf("outcome %s after %v, runs %d", r.outcome, r.ended.Sub(r.sent), f.executionCounts()["late"])
	checkExecutions(t, []result{r}, f.executionCounts())
	if took := r.ended.Sub(r.sent); took < time.Second || took > 2400*time.Millisecond {
		t.Errorf("request took %v, want the time of a fence that overtakes its Begin (1 s to 2.4 s)", took)
	}
}
