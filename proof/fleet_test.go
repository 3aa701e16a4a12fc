package proof

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// testToken is the token of the links and of operators.
const testToken = "proof-token"

// fleetSlots limits the number of fleets that run at the same time, so that the tests need about two cores.
var fleetSlots = make(chan struct{}, 3)

// limitFleets marks the test as parallel and waits for one of the fleetSlots.
func limitFleets(t *testing.T) {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
}

// fleet is a region with several entries and agents; each agent has its own minion.
type fleet struct {
	t       testing.TB
	entries []*process
	agents  []*process
	minions []*process
	// relays holds the relay between the entries and the agent of the same index, or nil.
	relays []*process
	// joinAddresses, if set, replaces the entries' own addresses as the join list of agents that are started later.
	joinAddresses []string
	// replacedMinions holds the killed minions that were replaced; their logs still count.
	replacedMinions []*process
	// probes numbers the requests of awaitAnswers.
	probes int
}

// newFleet starts the processes and waits until every entry can reach every agent.
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
	f.awaitAnswers()
	return f
}

// startEntry starts entry n with additional arguments.
func (f *fleet) startEntry(n int, extra ...string) *process {
	f.t.Helper()
	args := []string{
		"entry", "--id", fmt.Sprintf("entry-%d", n), "--region", "west", "--centre", "one",
		"--token", testToken, "--drain", "1s",
	}
	return start(f.t, "wagtailhoist", append(args, extra...)...)
}

// announceThroughRelay restarts entry 0 and agent n so that the agent's announcements reach the entry only through the
// returned relay. The other agents continue to use the entry's own address.
func (f *fleet) announceThroughRelay(n int) *process {
	f.t.Helper()
	link := f.entries[0].addr("link")
	f.entries[0].kill()
	f.agents[n].kill()
	r := start(f.t, "stand", "relay", "--target", link)
	f.entries[0] = f.startEntry(0, "--link", link, "--advertise", r.addr("listen"))
	f.joinAddresses = []string{r.addr("listen")}
	f.restartAgent(n)
	f.awaitAnswers()
	return r
}

// startAgent starts agent n with additional arguments.
func (f *fleet) startAgent(n int, extra ...string) *process {
	f.t.Helper()
	joinAddresses := slices.Clone(f.joinAddresses)
	if len(joinAddresses) == 0 {
		for _, e := range f.entries {
			joinAddresses = append(joinAddresses, e.addr("link"))
		}
	}
	args := []string{
		"agent", "--id", fmt.Sprintf("agent-%d", n), "--region", "west", "--centre", "one",
		"--token", testToken, "--minion", f.minions[n].url("listen"), "--join", strings.Join(joinAddresses, ","),
	}
	if f.relays[n] != nil {
		args = append(args, "--advertise", f.relays[n].addr("listen"))
	}
	return start(f.t, "wagtailhoist", append(args, extra...)...)
}

// addRelay restarts agent n behind a relay, through which the entries reach it from then on.
func (f *fleet) addRelay(n int) {
	f.t.Helper()
	old := f.agents[n]
	old.kill()
	f.relays[n] = start(f.t, "stand", "relay", "--target", old.addr("link"))
	f.agents[n] = f.startAgent(n, "--listen", old.addr("link"))
	f.awaitAnswers()
}

// restartAgent replaces the killed agent n at the same address.
func (f *fleet) restartAgent(n int) {
	f.t.Helper()
	f.agents[n] = f.startAgent(n, "--listen", f.agents[n].addr("link"))
}

// restartMinion replaces the killed minion n at the same address.
func (f *fleet) restartMinion(n int) {
	f.t.Helper()
	f.replacedMinions = append(f.replacedMinions, f.minions[n])
	f.minions[n] = startMinion(f.t, f.minions[n].addr("listen"))
}

// fault injects a fault at the relay of agent n; mode "clear" removes it.
func (f *fleet) fault(n int, fault map[string]any) {
	f.t.Helper()
	if code, body := post(f.t, f.relays[n].url("control")+"/faults", fault); code != http.StatusOK {
		f.t.Fatalf("fault %v: status %d: %s", fault, code, body)
	}
}

// executionCounts returns the number of executions of each request at all minions, including replaced ones.
func (f *fleet) executionCounts() map[string]int {
	f.t.Helper()
	out := map[string]int{}
	for _, e := range executions(f.t, append(f.replacedMinions, f.minions...)...) {
		out[e.ID]++
	}
	return out
}

// awaitAnswers waits until each entry has answered several requests in a row and reached every minion.
func (f *fleet) awaitAnswers() {
	f.t.Helper()
	const minInARow = 6
	for n, e := range f.entries {
		seen := map[int]int{}
		for m, p := range f.minions {
			seen[m] = len(p.lines(`"executed"`))
		}
		good := 0
		eventually(f.t, 30*time.Second, fmt.Sprintf("entry %d answers and reaches all agents", n), func() bool {
			f.probes++
			r := send(e.url("listen"), request{id: fmt.Sprintf("settle-%d", f.probes), method: http.MethodGet, timeout: 2 * time.Second})
			if r.outcome != "answered" || r.mismatch != "" {
				good = 0
				return false
			}
			good++
			for m, p := range f.minions {
				if len(p.lines(`"executed"`)) == seen[m] {
					return false
				}
			}
			return good >= minInARow
		})
	}
}
