package proof

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"wagtailhoist/core/config"
	"wagtailhoist/core/model"
	"wagtailhoist/io/store"
)

const (
	// operatorToken is the token of the links and of operators.
	operatorToken = "operators"
	// inForceEverywhere is the time from the acceptance of a revision until every process has to have it in force (P8).
	inForceEverywhere = 8 * time.Second
)

// configFleet is a store, a minion, and entries and agents in two regions.
type configFleet struct {
	t        *testing.T
	dir      string
	platform *process
	entries  map[string]*process
	agents   map[string]*process
	regions  map[string]string
	minion   *process
}

// startConfigFleet starts two entries and an agent in each of two regions.
func startConfigFleet(t *testing.T) *configFleet {
	return startProcesses(t, "e1", "e2", "e3", "e4", "a1", "a2")
}

// startProcesses starts a store, a minion and the named processes, the first of which must be an entry, and
// waits until that entry knows all of them. Names with the prefix e are entries, others are agents.
func startProcesses(t *testing.T, ids ...string) *configFleet {
	f := &configFleet{
		t: t, dir: t.TempDir(), entries: map[string]*process{}, agents: map[string]*process{},
		regions: map[string]string{"e1": "west", "e2": "west", "e3": "east", "e4": "east", "a1": "west", "a2": "east"},
	}
	f.platform = start(t, "stand", "platform")
	f.minion = start(t, "stand", "minion")
	for _, id := range ids {
		if id[0] == 'e' {
			f.startEntry(id)
		} else {
			f.startAgent(id)
		}
	}
	f.within(startTimeout, "all processes", func() bool { return len(f.status(ids[0])) == len(ids) })
	return f
}

// addresses returns the link addresses of the running entries.
func (f *configFleet) addresses() string {
	var out []string
	for _, e := range f.entries {
		out = append(out, e.addr("link"))
	}
	return strings.Join(out, ",")
}

func (f *configFleet) startEntry(id string) {
	f.t.Helper()
	f.entries[id] = start(f.t, "wagtailhoist", "entry", "--id", id, "--region", f.regions[id], "--centre", f.regions[id]+"-a",
		"--store", f.platform.url("listen"), "--token", operatorToken, "--drain", "0s", "--join", f.addresses()).ready("link")
}

func (f *configFleet) startAgent(id string) {
	f.t.Helper()
	f.agents[id] = start(f.t, "wagtailhoist", "agent", "--id", id, "--region", f.regions[id], "--centre", f.regions[id]+"-a",
		"--minion", f.minion.url("listen"), "--token", operatorToken, "--join", f.addresses()).ready("link")
}

// within calls eventually for the fleet's test.
func (f *configFleet) within(limit time.Duration, what string, ok func() bool) {
	f.t.Helper()
	eventually(f.t, limit, what, ok)
}

// setFault injects a fault at the platform.
func (f *configFleet) setFault(body map[string]any) {
	f.t.Helper()
	if status, answer := post(f.t, f.platform.url("listen")+"/faults", body); status >= 300 {
		f.t.Fatalf("setting a fault: got %d %s", status, answer)
	}
}

func (f *configFleet) storeDown() { f.setFault(map[string]any{"mode": "down", "of": "store"}) }
func (f *configFleet) storeUp()   { f.setFault(map[string]any{"mode": "clear"}) }

// processStatus is a process as the status of an entry lists it.
type processStatus struct {
	ID, State, Config string
	Revision          int
	Watch             bool
	Fault             string
}

// status returns the processes that an entry lists, by identifier and without those in state lost. It returns nil
// if the entry doesn't answer.
func (f *configFleet) status(id string) map[string]processStatus {
	req, err := http.NewRequest(http.MethodGet, f.entries[id].url("admin")+"/status", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var body struct{ Processes []processStatus }
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil
	}
	out := map[string]processStatus{}
	for _, p := range body.Processes {
		if p.State != "lost" {
			out[p.ID] = p
		}
	}
	return out
}

// ownStatus returns an entry's own line of its status.
func (f *configFleet) ownStatus(id string) processStatus { return f.status(id)[id] }

// watchingEntry returns the entry that watches the store for a region, or an empty string.
func (f *configFleet) watchingEntry(region string) string {
	for id := range f.entries {
		if f.regions[id] == region && f.ownStatus(id).Watch {
			return id
		}
	}
	return ""
}

// runCommand runs an operator's command against an entry and returns its exit code and output.
func (f *configFleet) runCommand(entry string, args ...string) (int, string) {
	f.t.Helper()
	args = append(args, "--admin", f.entries[entry].url("admin"), "--token", operatorToken)
	cmd := exec.Command(filepath.Join(binDir, "wagtailhoist"), args...)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		f.t.Fatalf("%v: %v", args, err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// writeDeclaration writes a declaration with one team and returns its path.
func (f *configFleet) writeDeclaration(team string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, team+".yaml")
	if err := os.WriteFile(path, fmt.Appendf(nil, "teams:\n- {name: %s, weight: 1}\n", team), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// apply applies a declaration at an entry and returns the time just before.
func (f *configFleet) apply(entry, team string) time.Time {
	f.t.Helper()
	before := time.Now()
	if code, out := f.runCommand(entry, "apply", f.writeDeclaration(team)); code != 0 {
		f.t.Fatalf("apply at %s: got exit code %d, want 0\n%s", entry, code, out)
	}
	return before
}

// putRevision writes a revision directly into the store, so that entries learn of it only by watching the store. It
// returns the time just before.
func (f *configFleet) putRevision(revision model.Revision, document string) time.Time {
	f.t.Helper()
	s := &store.Client{URL: f.platform.url("listen")}
	record := config.Record{Snapshot: config.Snapshot{Revision: revision, Change: "outside", Document: document}}
	value, err := record.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	before := time.Now()
	if _, err := s.Put(f.t.Context(), config.Key, value, 0, 0); err != nil {
		f.t.Fatal(err)
	}
	return before
}

// inForceEverywhere waits until each of the processes reports that the revision is in force and confirmed.
func (f *configFleet) inForceEverywhere(accepted time.Time, revision int, ids ...string) {
	f.t.Helper()
	for _, id := range ids {
		f.within(time.Until(accepted.Add(inForceEverywhere)), fmt.Sprintf("revision %d in force in %s", revision, id), func() bool {
			if f.entries[id] != nil {
				p := f.ownStatus(id)
				return p.Revision == revision && p.Config == "confirmed"
			}
			// An agent reports its revision to the entries that it is linked to; one of them is enough.
			for entry := range f.entries {
				if p, ok := f.status(entry)[id]; ok && p.Revision == revision && p.Config == "confirmed" {
					return true
				}
			}
			return false
		})
	}
	f.t.Logf("revision %d in force in %v after %v", revision, ids, time.Since(accepted).Round(time.Millisecond))
}

// A revision has to reach every process in all regions, whichever entry accepted it.
func TestRevisionIsInForceEverywhere(t *testing.T) {
	f := startConfigFleet(t)
	for i, entry := range []string{"e1", "e4", "e2"} {
		accepted := f.apply(entry, fmt.Sprint("team", i))
		f.inForceEverywhere(accepted, i+1, "e1", "e2", "e3", "e4", "a1", "a2")
	}
	code, out := f.runCommand("e3", "apply", "--wait", f.writeDeclaration("waited"))
	if code != 0 || !strings.Contains(out, "accepted as revision 4") || !strings.Contains(out, "in force in every process after") {
		t.Errorf("apply --wait: got exit code %d, want 0\n%s", code, out)
	}
	// Processes that stopped as planned must not count as lagging.
	for _, p := range f.agents {
		p.stop()
	}
	for _, id := range []string{"e4", "e3", "e2"} {
		f.entries[id].stop()
	}
	if code, out := f.runCommand("e1", "apply", "--wait", f.writeDeclaration("alone")); code != 0 {
		t.Errorf("apply --wait after planned stops: got exit code %d, want 0\n%s", code, out)
	}
	f.entries["e1"].stop()
}

// During a store outage no change may be accepted, and processes must keep their revision in force, including those
// that restart and have to get it from their peers.
func TestStoreOutageKeepsTheRevision(t *testing.T) {
	f := startConfigFleet(t)
	f.inForceEverywhere(f.apply("e1", "before"), 1, "e1", "e2", "e3", "e4", "a1", "a2")
	f.storeDown()
	code, out := f.runCommand("e1", "apply", f.writeDeclaration("during"))
	if code != 5 && code != 6 {
		t.Errorf("apply without the store: got exit code %d, want 5 or 6\n%s", code, out)
	}
	// Each restarted process has to get the revision from its peers.
	for _, id := range []string{"e1", "e3"} {
		f.entries[id].kill()
		delete(f.entries, id)
		f.startEntry(id)
		if got := f.ownStatus(id); got.Revision != 1 || got.Config != "unconfirmed" {
			t.Errorf("%s restarted without the store: got %+v, want revision 1 unconfirmed", id, got)
		}
	}
	f.agents["a2"].kill()
	f.startAgent("a2")
	f.within(inForceEverywhere, "a2 has revision 1", func() bool { return f.status("e4")["a2"].Revision == 1 })
	f.storeUp()
	f.inForceEverywhere(time.Now(), 1, "e1", "e2", "e3", "e4", "a1", "a2")
	f.inForceEverywhere(f.apply("e3", "after"), 2, "e1", "e2", "e3", "e4", "a1", "a2")
}

// An entry that starts during a store outage must also ask agents for the latest revision: here all entries were
// killed, and only agents still have it.
func TestRestartWithoutStoreAsksAgentsToo(t *testing.T) {
	f := startConfigFleet(t)
	f.inForceEverywhere(f.apply("e1", "one"), 1, "e1", "e2", "e3", "e4", "a1", "a2")
	f.storeDown()
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		f.entries[id].kill()
	}
	addresses := f.entries["e1"].addr("link")
	clear(f.entries)
	// The agents dial the address of the killed entry.
	f.entries["e1"] = start(t, "wagtailhoist", "entry", "--id", "e1", "--region", "west", "--centre", "west-a",
		"--store", f.platform.url("listen"), "--token", operatorToken, "--link", addresses).ready("link")
	if got := f.ownStatus("e1"); got.Revision != 1 || got.Config != "unconfirmed" {
		t.Errorf("entry restarted with agents only: got %+v, want revision 1 unconfirmed", got)
	}
}

// If the entry that watches the store for its region is dead or paused, another entry has to take over the watch, or
// the region would miss new revisions. There is no other region, and the revision is written directly into the store,
// so that only an entry with the watch can find it.
func TestWatchIsTakenOver(t *testing.T) {
	for name, fail := range map[string]func(*process){"killed": (*process).kill, "paused": (*process).pause} {
		t.Run(name, func(t *testing.T) {
			f := startProcesses(t, "e1", "e2", "a1")
			var holder string
			f.within(inForceEverywhere, "a watch", func() bool {
				holder = f.watchingEntry("west")
				return holder != ""
			})
			other := map[string]string{"e1": "e2", "e2": "e1"}[holder]
			fail(f.entries[holder])
			f.inForceEverywhere(f.putRevision(1, "teams: []\n"), 1, other, "a1")
			f.within(inForceEverywhere, "another watch", func() bool { return f.ownStatus(other).Watch })
			if name == "paused" {
				f.entries[holder].resume()
				f.inForceEverywhere(time.Now(), 1, holder)
				f.within(inForceEverywhere, "the resumed entry gives up the watch", func() bool { return !f.ownStatus(holder).Watch })
				if !f.ownStatus(other).Watch {
					t.Errorf("%s: watch lost to a process that resumed", other)
				}
			}
		})
	}
}

// If two operators apply different declarations for the same revision at the same time, one has to be accepted and the
// other has to get a conflict. Otherwise both would believe that theirs is in force.
func TestOneOfTwoOperatorsWins(t *testing.T) {
	f := startConfigFleet(t)
	f.inForceEverywhere(f.apply("e1", "base"), 1, "e1", "e2", "e3", "e4")
	var codes [2]int
	var outs [2]string
	var wg sync.WaitGroup
	for i, entry := range []string{"e1", "e3"} {
		path := f.writeDeclaration(fmt.Sprint("racer", i))
		wg.Go(func() { codes[i], outs[i] = f.runCommand(entry, "apply", "--at", "1", path) })
	}
	wg.Wait()
	winner := 0
	if codes[1] == 0 {
		winner = 1
	}
	if codes[winner] != 0 || codes[1-winner] != 3 {
		t.Fatalf("exit codes: got %v, want 0 and 3\n%s\n%s", codes, outs[0], outs[1])
	}
	if out := outs[1-winner]; !strings.Contains(out, "made for revision 1, but the latest is revision 2") {
		t.Errorf("conflict: got %s, want both revisions", out)
	}
	f.inForceEverywhere(time.Now(), 2, "e1", "e2", "e3", "e4", "a1", "a2")
	_, out := f.runCommand("e2", "query", "show", "teams")
	if !strings.Contains(out, fmt.Sprint("racer", winner)) || strings.Contains(out, fmt.Sprint("racer", 1-winner)) {
		t.Errorf("teams in force: got %s, want the winner's racer%d alone", out, winner)
	}
}

// An apply must be accepted as exactly one revision even if the store's answer is lost after the write took effect, the
// write arrives twice, or the first attempt fails.
func TestLostAnswerOfTheStore(t *testing.T) {
	f := startConfigFleet(t)
	for i, fault := range []string{"lost", "twice", "refuse", "down"} {
		f.setFault(map[string]any{"mode": fault, "of": "store", "method": "PUT", "path": "/kv/config", "count": 1})
		code, out := f.runCommand("e1", "apply", f.writeDeclaration(fault))
		if code != 0 || !strings.Contains(out, fmt.Sprintf("accepted as revision %d", i+1)) {
			t.Errorf("%s: got exit code %d, want revision %d\n%s", fault, code, i+1, out)
		}
	}
	f.inForceEverywhere(time.Now(), 4, "e1", "e2", "e3", "e4", "a1", "a2")
}

// apply --wait must not return success before every process has the revision, and has to name those that lag.
func TestWaitNamesLaggingProcesses(t *testing.T) {
	f := startConfigFleet(t)
	f.agents["a2"].pause()
	code, out := f.runCommand("e1", "apply", "--wait", "--limit", "2s", f.writeDeclaration("lag"))
	if code != 4 || !strings.Contains(out, "a2") || strings.Contains(out, "a1 (") {
		t.Errorf("apply --wait with a paused agent: got exit code %d, want 4 with a2 alone\n%s", code, out)
	}
	f.agents["a2"].resume()
	f.inForceEverywhere(time.Now(), 1, "a2")
	if code, out = f.runCommand("e1", "status"); code != 0 || !strings.Contains(out, "confirmed") {
		t.Errorf("status: got exit code %d\n%s", code, out)
	}
}
