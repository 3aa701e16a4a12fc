package proof

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

const testToken = "proof-token"

// lanes bounds the fleets that run at a time, so that the tests need about two cores.
var lanes = make(chan struct{}, 3)

// inLane runs the test beside others and waits for a free lane.
func inLane(t *testing.T) {
	t.Helper()
	t.Parallel()
	lanes <- struct{}{}
	t.Cleanup(func() { <-lanes })
}

// fleet is a region of entries and of agents with a minion each.
type fleet struct {
	t       testing.TB
	entries []*process
	agents  []*process
	minions []*process
	// relays are between the entries and the agent of the same index.
	relays []*process
	// join replaces the entries' own addresses for the agents that are started from now on.
	join []string
	// past holds the minions that were replaced.
	past []*process
	seq  int
}

// newFleet starts the processes and waits until every agent is known to every entry.
func newFleet(t testing.TB, entries, agents int) *fleet {
	t.Helper()
	f := &fleet{t: t}
	for n := range entries {
		f.entries = append(f.entries, f.startEntry(n))
	}
	for n := range agents {
		f.minions = append(f.minions, startMinion(t, freeAddress(t)))
		f.relays = append(f.relays, nil)
		f.agents = append(f.agents, f.startAgent(n))
	}
	f.settle()
	return f
}

func (f *fleet) startEntry(n int, more ...string) *process {
	f.t.Helper()
	args := []string{
		"entry", "--id", fmt.Sprintf("entry-%d", n), "--region", "west", "--centre", "one",
		"--token", testToken, "--drain", "1s",
	}
	return start(f.t, "wagtailhoist", append(args, more...)...)
}

// hide restarts entry 0 and agent n so that the agent can announce itself only by the
// returned relay; the other agents still know the entry's own address.
func (f *fleet) hide(n int) *process {
	f.t.Helper()
	link := f.entries[0].addr("link")
	f.entries[0].kill()
	f.agents[n].kill()
	r := start(f.t, "stand", "relay", "--target", link)
	f.entries[0] = f.startEntry(0, "--link", link, "--advertise", r.addr("listen"))
	f.join = []string{r.addr("listen")}
	f.restartAgent(n)
	f.settle()
	return r
}

func (f *fleet) startAgent(n int, more ...string) *process {
	f.t.Helper()
	join := slices.Clone(f.join)
	if len(join) == 0 {
		for _, e := range f.entries {
			join = append(join, e.addr("link"))
		}
	}
	args := []string{
		"agent", "--id", fmt.Sprintf("agent-%d", n), "--region", "west", "--centre", "one",
		"--token", testToken, "--minion", f.minions[n].url("listen"), "--join", strings.Join(join, ","),
	}
	if f.relays[n] != nil {
		args = append(args, "--advertise", f.relays[n].addr("listen"))
	}
	return start(f.t, "wagtailhoist", append(args, more...)...)
}

// relay puts a relay before agent n, by which the entries reach it from now on.
func (f *fleet) relay(n int) {
	f.t.Helper()
	old := f.agents[n]
	old.kill()
	f.relays[n] = start(f.t, "stand", "relay", "--target", old.addr("link"))
	f.agents[n] = f.startAgent(n, "--listen", old.addr("link"))
	f.settle()
}

// restartAgent replaces the killed agent n at the same address.
func (f *fleet) restartAgent(n int) {
	f.t.Helper()
	f.agents[n] = f.startAgent(n, "--listen", f.agents[n].addr("link"))
}

// restartMinion replaces the killed minion n at the same address.
func (f *fleet) restartMinion(n int) {
	f.t.Helper()
	f.past = append(f.past, f.minions[n])
	f.minions[n] = startMinion(f.t, f.minions[n].addr("listen"))
}

// fault sets a fault of a relay; "clear" ends it.
func (f *fleet) fault(n int, fault map[string]any) {
	f.t.Helper()
	if code, body := post(f.t, f.relays[n].url("control")+"/faults", fault); code != http.StatusOK {
		f.t.Fatalf("fault %v: status %d: %s", fault, code, body)
	}
}

// ran counts the executions of each request at all minions, the killed ones included.
func (f *fleet) ran() map[string]int {
	f.t.Helper()
	out := map[string]int{}
	for _, e := range executions(f.t, append(f.past, f.minions...)...) {
		out[e.ID]++
	}
	return out
}

// settle waits until each entry has answered a row of requests, and each minion has run one.
func (f *fleet) settle() {
	f.t.Helper()
	const row = 6
	for n, e := range f.entries {
		seen := map[int]int{}
		for m, p := range f.minions {
			seen[m] = len(p.lines(`"executed"`))
		}
		good := 0
		eventually(f.t, 30*time.Second, fmt.Sprintf("entry %d answers and reaches all agents", n), func() bool {
			f.seq++
			r := send(e.url("listen"), request{id: fmt.Sprintf("settle-%d", f.seq), method: http.MethodGet, timeout: 2 * time.Second})
			if r.outcome != "answered" || r.wrong != "" {
				good = 0
				return false
			}
			good++
			for m, p := range f.minions {
				if len(p.lines(`"executed"`)) == seen[m] {
					return false
				}
			}
			return good >= row
		})
	}
}
