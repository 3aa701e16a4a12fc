package proof

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	onceSeeds = flag.Int("once.seeds", 4, "number of fault schedules for the test of at most one execution")
	onceFirst = flag.Uint64("once.first", 1, "seed of the first of these schedules")
)

const (
	// onceKeys is the number of request keys of a schedule, sent at random times within onceSpan.
	onceKeys = 120
	onceSpan = 8 * time.Second
	// keyedTimeout is the callers' deadline; it exceeds the time after which an entry considers a silent agent lost.
	keyedTimeout = 4 * time.Second
)

// onceFleetSlots limits the number of these fleets that run at the same time; each needs about half a core.
var onceFleetSlots = make(chan struct{}, 3)

// onceFleet is a region with a store, two entries, and two agents that the entries reach through relays.
type onceFleet struct {
	t        *testing.T
	platform *process
	entries  [2]*process
	relays   [2]*process
	agents   [2]*process
	minions  [2]*process
	mu       sync.Mutex // guards entries and agents, which replace changes while requests are sent
}

// startOnceFleet starts the fleet and waits until both entries answer.
func startOnceFleet(t *testing.T) *onceFleet {
	f := &onceFleet{t: t, platform: start(t, "stand", "platform")}
	for i := range f.entries {
		f.entries[i] = f.entry(i, freeAddress(t), freeAddress(t))
	}
	for i := range f.agents {
		f.minions[i] = start(t, "stand", "minion", "--id", fmt.Sprint("minion-", i))
		address := freeAddress(t)
		f.relays[i] = start(t, "stand", "relay", "--target", address)
		f.agents[i] = f.agent(i, address, f.relays[i].addr("listen"))
	}
	f.awaitRecovery("start")
	return f
}

// entry starts entry i at the given addresses.
func (f *onceFleet) entry(i int, listen, links string) *process {
	return start(f.t, "wagtailhoist", "entry", "--id", fmt.Sprint("e", i), "--region", "ch-west", "--centre", "lausanne",
		"--listen", listen, "--link", links, "--token", "t", "--store", f.platform.url("listen"), "--drain", "100ms")
}

// agent starts agent i, which advertises the address of its relay.
func (f *onceFleet) agent(i int, listen, advertise string) *process {
	return start(f.t, "wagtailhoist", "agent", "--id", fmt.Sprint("m", i), "--region", "ch-west", "--centre", "lausanne",
		"--listen", listen, "--advertise", advertise, "--minion", f.minions[i].url("listen"), "--token", "t",
		"--join", f.entries[0].addr("link")+","+f.entries[1].addr("link"))
}

// fault injects a fault at a relay or the platform; name is the listener with the path /faults.
func (f *onceFleet) fault(p *process, name, mode, method string, delay int) {
	code, body := post(f.t, p.url(name)+"/faults", map[string]any{"mode": mode, "method": method, "delay": delay})
	if code != http.StatusOK {
		f.t.Errorf("fault %s: status %d: %s", mode, code, body)
	}
}

// url returns the URL at which entry i accepts requests; it may be called while the entry is being replaced.
func (f *onceFleet) url(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[i].url("listen")
}

// sendKeyed sends a request with an idempotency key and returns its outcome, an empty string if the connection broke,
// or "torn" and the outcome if the answer is incomplete.
func sendKeyed(url, key, service string, timeout time.Duration) string {
	req, err := http.NewRequest(http.MethodPost, url+"/order?time="+service, strings.NewReader("order "+key))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Wagtailhoist-Timeout", fmt.Sprint(timeout.Milliseconds()))
	// Without keep-alive, net/http doesn't resend the request after a broken connection.
	client := http.Client{Timeout: timeout + 4*time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	outcome := resp.Header.Get("Wagtailhoist-Outcome")
	if err != nil || outcome == "answered" && !strings.Contains(string(body), key) {
		return "torn " + outcome
	}
	return outcome
}

// awaitRecovery waits until each entry has answered four requests with new keys in a row.
func (f *onceFleet) awaitRecovery(when string) {
	f.t.Helper()
	n := 0
	for i := range f.entries {
		good := 0
		eventually(f.t, 40*time.Second, fmt.Sprintf("entry %d answers after %s", i, when), func() bool {
			n++
			if sendKeyed(f.url(i), fmt.Sprintf("probe-%s-%d-%d", when, i, n), "0s", time.Second) != "answered" {
				good = 0
				return false
			}
			good++
			return good == 4
		})
	}
}

// executions returns how often each key ran, summed over both minions.
func (f *onceFleet) executions() map[string]int {
	f.t.Helper()
	all := map[string]int{}
	for _, m := range f.minions {
		resp, err := http.Get(m.url("control") + "/counts")
		if err != nil {
			f.t.Fatal(err)
		}
		var counts struct{ Keys map[string]int }
		err = json.NewDecoder(resp.Body).Decode(&counts)
		resp.Body.Close()
		if err != nil {
			f.t.Fatal(err)
		}
		for key, n := range counts.Keys {
			all[key] += n
		}
	}
	return all
}

// replace kills the process at *target and after a pause starts its successor with next.
func (f *onceFleet) replace(target **process, pause time.Duration, next func(old *process) *process) {
	old := *target
	old.kill()
	time.Sleep(pause)
	p := next(old)
	f.mu.Lock()
	defer f.mu.Unlock()
	*target = p
}

// onceFault is a fault that lasts for the duration of the call of run.
type onceFault struct {
	name string
	// kind is the kind of process that fails. Faults of the same kind don't run at the same time, because one would
	// clear or replace the other.
	kind string
	run  func(f *onceFleet, i int, d time.Duration)
}

// relayFault returns a fault of the relay of agent i.
func relayFault(mode string) func(f *onceFleet, i int, d time.Duration) {
	return func(f *onceFleet, i int, d time.Duration) {
		f.fault(f.relays[i], "control", mode, "", 0)
		time.Sleep(d)
		f.fault(f.relays[i], "control", "clear", "", 0)
	}
}

// storeFault returns a fault of the store.
func storeFault(mode, method string, delay int) func(f *onceFleet, _ int, d time.Duration) {
	return func(f *onceFleet, _ int, d time.Duration) {
		f.fault(f.platform, "listen", mode, method, delay)
		time.Sleep(d)
		f.fault(f.platform, "listen", "clear", "", 0)
	}
}

// onceFaults are the faults from which injectFaults chooses.
var onceFaults = []onceFault{
	{"entry killed", "entry", func(f *onceFleet, i int, d time.Duration) {
		f.replace(&f.entries[i], d/4, func(old *process) *process { return f.entry(i, old.addr("listen"), old.addr("link")) })
	}},
	{"agent killed", "agent", func(f *onceFleet, i int, d time.Duration) {
		f.replace(&f.agents[i], d/4, func(old *process) *process {
			return f.agent(i, old.addr("link"), f.relays[i].addr("listen"))
		})
	}},
	{"entry paused", "entry", func(f *onceFleet, i int, d time.Duration) {
		f.entries[i].pause()
		time.Sleep(d)
		f.entries[i].resume()
	}},
	{"agent paused", "agent", func(f *onceFleet, i int, d time.Duration) {
		f.agents[i].pause()
		time.Sleep(d)
		f.agents[i].resume()
	}},
	{"attempts delivered late", "relay", relayFault("hold")},
	{"links silent", "relay", relayFault("silent")},
	{"links dropped", "relay", relayFault("drop")},
	{"answers of the agent lost", "relay", relayFault("lost")},
	{"store down", "store", storeFault("down", "", 0)},
	{"store answers lost", "store", storeFault("lost", http.MethodPut, 0)},
	{"store silent", "store", storeFault("silent", "", 0)},
	{"store slow", "store", storeFault("slow", "", 150)},
}

// injectFaults injects random faults until stop is closed, one or two at the same time followed by a short pause, and
// returns their descriptions.
func (f *onceFleet) injectFaults(rng *rand.Rand, stop <-chan struct{}) (names []string) {
	for {
		var both sync.WaitGroup
		picked := rng.Perm(len(onceFaults))[:1+rng.IntN(2)]
		if len(picked) == 2 && onceFaults[picked[0]].kind == onceFaults[picked[1]].kind {
			picked = picked[:1]
		}
		for _, n := range picked {
			i, d := rng.IntN(2), time.Duration(200+rng.IntN(2800))*time.Millisecond
			names = append(names, fmt.Sprintf("%s (%d, %v)", onceFaults[n].name, i, d))
			both.Go(func() { onceFaults[n].run(f, i, d) })
		}
		both.Wait()
		select {
		case <-stop:
			return names
		case <-time.After(time.Duration(rng.IntN(800)) * time.Millisecond):
		}
	}
}

// sendKeys sends each key one to three times through random entries while faults are injected, and returns the outcomes
// by key.
func (f *onceFleet) sendKeys(rng *rand.Rand) (outcomes map[string][]string) {
	outcomes = map[string][]string{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for k := range onceKeys {
		key := fmt.Sprint("key-", k)
		begin := time.Duration(rng.Int64N(int64(onceSpan)))
		service := []string{"0s", "30ms", "400ms"}[rng.IntN(3)]
		for n := range 1 + rng.IntN(3) {
			entry := rng.IntN(2)
			sendAt := begin + []time.Duration{0, time.Millisecond, 50 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second}[rng.IntN(5)]*time.Duration(n)
			all.Go(func() {
				time.Sleep(sendAt)
				got := sendKeyed(f.url(entry), key, service, keyedTimeout)
				mu.Lock()
				defer mu.Unlock()
				outcomes[key] = append(outcomes[key], got)
			})
		}
	}
	all.Wait()
	return outcomes
}

// A request with an idempotency key must not run twice, or an order would be delivered twice, and must not be answered
// without a run. Kills, pauses, link faults and store faults happen alone and in pairs.
func TestKeyedRequestRunsAtMostOnce(t *testing.T) {
	for n := range *onceSeeds {
		seed := *onceFirst + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			onceFleetSlots <- struct{}{}
			defer func() { <-onceFleetSlots }()
			f := startOnceFleet(t)
			stop, done := make(chan struct{}), make(chan []string)
			go func() { done <- f.injectFaults(rand.New(rand.NewPCG(seed, 2)), stop) }()
			outcomes := f.sendKeys(rand.New(rand.NewPCG(seed, 3)))
			close(stop)
			faults := <-done
			f.awaitRecovery("faults")
			// Delayed attempts have arrived by now, so every key that ran must be refused as a duplicate.
			before := f.executions()
			for key := range outcomes {
				got := sendKeyed(f.url(len(key)%2), key, "0s", keyedTimeout)
				if before[key] > 0 && got != "duplicate" {
					t.Errorf("%s ran before and its resend got %q, want duplicate", key, got)
				}
				outcomes[key] = append(outcomes[key], got)
			}
			f.checkOutcomes(outcomes, faults)
		})
	}
}

// checkOutcomes compares the executions of each key with the outcomes that its callers got.
func (f *onceFleet) checkOutcomes(outcomes map[string][]string, faults []string) {
	f.t.Helper()
	counts := map[string]int{}
	runs := f.executions()
	for key, got := range outcomes {
		answered, unknown := 0, 0
		for _, o := range got {
			counts[o]++
			switch o {
			case "answered":
				answered++
			case "unknown", "":
				unknown++
			case "not-run", "duplicate":
			default:
				f.t.Errorf("%s: got outcome %q", key, o)
			}
		}
		switch n := runs[key]; {
		case n > 1:
			f.t.Errorf("%s ran %d times; outcomes %q", key, n, got)
		case answered > 1, answered == 1 && n != 1:
			f.t.Errorf("%s ran %d times with %d answers; outcomes %q", key, n, answered, got)
		case n == 1 && answered+unknown == 0:
			f.t.Errorf("%s ran, but every caller got an outcome that says otherwise; outcomes %q", key, got)
		}
	}
	f.t.Logf("outcomes %v after faults %q", counts, faults)
	if counts["answered"] < onceKeys/4 || counts["duplicate"] == 0 {
		f.t.Errorf("outcomes %v: too few answers or duplicates for the check to mean anything", counts)
	}
}

// While the store is unavailable, requests with an idempotency key can't be claimed and must be refused, but requests
// without a key must run. The refused keys must be free after the outage.
func TestStoreOutageRefusesKeysOnly(t *testing.T) {
	t.Parallel()
	onceFleetSlots <- struct{}{}
	defer func() { <-onceFleetSlots }()
	f := startOnceFleet(t)
	for _, mode := range []string{"down", "silent", "lost", "refuse"} {
		f.fault(f.platform, "listen", mode, "", 0)
		var keys []string
		for n := range 4 {
			key := fmt.Sprintf("%s-%d", mode, n)
			keys = append(keys, key)
			begin := time.Now()
			if got := sendKeyed(f.url(n%2), key, "0s", keyedTimeout); got != "not-run" {
				t.Errorf("keyed request with store %s: got %q, want not-run", mode, got)
			}
			if took := time.Since(begin); took > 3*time.Second {
				t.Errorf("refusal with store %s took %v", mode, took)
			}
			if code, body := post(t, f.url(n%2)+"/price", "unkeyed"); code != http.StatusOK {
				t.Errorf("unkeyed request with store %s: status %d: %s", mode, code, body)
			}
		}
		f.fault(f.platform, "listen", "clear", "", 0)
		for n, key := range keys {
			eventually(t, 5*time.Second, "key "+key+" runs after the outage", func() bool {
				return sendKeyed(f.url(n%2), key, "0s", keyedTimeout) == "answered"
			})
		}
		for _, key := range keys {
			if got := f.executions()[key]; got != 1 {
				t.Errorf("%s ran %d times, want once", key, got)
			}
		}
	}
}
