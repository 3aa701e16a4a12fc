package proof

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// revisionsInForce returns the revisions that a process put in force, in the order of its log.
func revisionsInForce(t *testing.T, p *process) []int {
	t.Helper()
	var out []int
	for _, line := range p.lines(`"configuration in force"`) {
		var fields struct{ Revision int }
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("log line %s: %v", line, err)
		}
		out = append(out, fields.Revision)
	}
	return out
}

// revisionHistory collects the revisions that each process put in force, across its restarts.
type revisionHistory struct {
	f             *configFleet
	beforeRestart map[string][]int // revisions in force before the last restart, by process
}

// process returns the running entry or agent with the identifier.
func (l *revisionHistory) process(id string) *process {
	if p := l.f.entries[id]; p != nil {
		return p
	}
	return l.f.agents[id]
}

// restart kills a process, saves the revisions in its log and starts it again under the same identifier.
func (l *revisionHistory) restart(id string) {
	l.f.t.Helper()
	p := l.process(id)
	p.kill()
	l.beforeRestart[id] = append(l.beforeRestart[id], revisionsInForce(l.f.t, p)...)
	if id[0] == 'e' {
		delete(l.f.entries, id)
		l.f.startEntry(id)
	} else {
		l.f.startAgent(id)
	}
}

// No process may fall back to an older revision, even across restarts, when restarts, pauses, store outages and lost
// answers of the store overlap while operators apply declarations. At most one process is down or paused at a time, so
// that a process with the latest revision can always be reached.
func TestNoProcessRevertsUnderOverlappingFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := startProcesses(t, "e1", "e2", "e3", "a1", "a2")
			l := &revisionHistory{f: f, beforeRestart: map[string][]int{}}
			ids := []string{"e1", "e2", "e3", "a1", "a2"}
			r := rand.New(rand.NewPCG(seed, 0))
			accepted, unknownEffect := 0, 0
			paused := ""
			for step := range 10 {
				switch r.IntN(4) {
				case 0, 3:
					f.storeUp()
				case 1:
					f.setFault(map[string]any{"mode": []string{"lost", "twice", "down"}[r.IntN(3)], "of": "store", "count": 1 + r.IntN(3)})
				case 2:
					f.storeDown()
				}
				if paused != "" {
					l.process(paused).resume()
					paused = ""
				}
				id := ids[r.IntN(len(ids))]
				switch r.IntN(3) {
				case 0:
					l.restart(id)
				case 1:
					l.process(id).pause()
					paused = id
				}
				entry := []string{"e1", "e2", "e3"}[r.IntN(3)]
				if entry == paused {
					continue
				}
				switch code, out := f.runCommand(entry, "apply", f.writeDeclaration(fmt.Sprint("step", step))); code {
				case 0:
					accepted++
				case 6:
					unknownEffect++
				case 3, 5:
				default:
					t.Fatalf("apply: got exit code %d\n%s", code, out)
				}
			}
			if paused != "" {
				l.process(paused).resume()
			}
			f.storeUp()
			healed := time.Now()
			if code, out := f.runCommand("e1", "apply", f.writeDeclaration("last")); code != 0 {
				t.Fatalf("apply after the faults: got exit code %d\n%s", code, out)
			}
			accepted++
			revision := f.ownStatus("e1").Revision
			f.inForceEverywhere(healed, revision, ids...)
			if revision < accepted || revision > accepted+unknownEffect {
				t.Errorf("revision: got %d, want %d accepted changes and up to %d of unknown effect", revision, accepted, unknownEffect)
			}
			for _, id := range ids {
				all := append(l.beforeRestart[id], revisionsInForce(t, l.process(id))...)
				for i := 1; i < len(all); i++ {
					if all[i] < all[i-1] {
						t.Errorf("%s: revision %d in force after %d: %v", id, all[i], all[i-1], all)
					}
				}
				t.Logf("%s: %v", id, all)
			}
		})
	}
}
