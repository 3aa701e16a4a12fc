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
	// onceTimeout is the callers' deadline; it is above the time in which an entry gives an agent up.
	onceTimeout = 4 * time.Second
)

// onceLanes bounds the fleets of this test that run at a time, about half a core each.
var onceLanes = make(chan struct{}, 3)

// onceFleet is a region with two entries, and two agents that are reached through relays.
type onceFleet struct {
	t        *testing.T
	platform *process
	entries  [2]*process
	relays   [2]*process
	agents   [2]*process
	minions  [2]*process
	mu       sync.Mutex // guards the replacement of processes against the senders
}

func startOnce(t *testing.T) *onceFleet {
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
	f.recovered("start")
	return f
}

func (f *onceFleet) entry(i int, listen, links string) *process {
	return start(f.t, "wagtailhoist", "entry", "--id", fmt.Sprint("e", i), "--region", "ch-west", "--centre", "lausanne",
		"--listen", listen, "--link", links, "--token", "t", "--store", f.platform.url("listen"), "--drain", "100ms")
}

func (f *onceFleet) agent(i int, listen, advertise string) *process {
	return start(f.t, "wagtailhoist", "agent", "--id", fmt.Sprint("m", i), "--region", "ch-west", "--centre", "lausanne",
		"--listen", listen, "--advertise", advertise, "--minion", f.minions[i].url("listen"), "--token", "t",
		"--join", f.entries[0].addr("link")+","+f.entries[1].addr("link"))
}

func (f *onceFleet) fault(p *process, name, mode, method string, delay int) {
	code, body := post(f.t, p.url(name)+"/faults", map[string]any{"mode": mode, "method": method, "delay": delay})
	if code != http.StatusOK {
		f.t.Errorf("fault %s: status %d: %s", mode, code, body)
	}
}

// url returns the callers' address of an entry that may be replaced meanwhile.
func (f *onceFleet) url(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[i].url("listen")
}

// onceSend sends a keyed request and returns the outcome that the caller learns; it is
// empty where the connection broke.
func onceSend(url, key, service string, timeout time.Duration) string {
	req, err := http.NewRequest(http.MethodPost, url+"/order?time="+service, strings.NewReader("order "+key))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Wagtailhoist-Timeout", fmt.Sprint(timeout.Milliseconds()))
	// A transport of its own keeps net/http from sending the request again on a broken connection.
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

// recovered waits until both entries answer new keys.
func (f *onceFleet) recovered(when string) {
	f.t.Helper()
	n := 0
	for i := range f.entries {
		good := 0
		eventually(f.t, 40*time.Second, fmt.Sprintf("entry %d answers after %s", i, when), func() bool {
			n++
			if onceSend(f.url(i), fmt.Sprintf("probe-%s-%d-%d", when, i, n), "0s", time.Second) != "answered" {
				good = 0
				return false
			}
			good++
			return good == 4
		})
	}
}

// executions returns how often each key ran at both minions together.
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

// replace kills a process and starts another one in its place after a while.
func (f *onceFleet) replace(at **process, pause time.Duration, next func(old *process) *process) {
	old := *at
	old.kill()
	time.Sleep(pause)
	p := next(old)
	f.mu.Lock()
	defer f.mu.Unlock()
	*at = p
}

// onceFault is a fault that begins when it is called and has ended when it returns.
type onceFault struct {
	name string
	// of is what the fault concerns; two faults of one kind would end or replace each other.
	of  string
	run func(f *onceFleet, i int, d time.Duration)
}

func relayFault(mode string) func(f *onceFleet, i int, d time.Duration) {
	return func(f *onceFleet, i int, d time.Duration) {
		f.fault(f.relays[i], "control", mode, "", 0)
		time.Sleep(d)
		f.fault(f.relays[i], "control", "clear", "", 0)
	}
}

func storeFault(mode, method string, delay int) func(f *onceFleet, _ int, d time.Duration) {
	return func(f *onceFleet, _ int, d time.Duration) {
		f.fault(f.platform, "listen", mode, method, delay)
		time.Sleep(d)
		f.fault(f.platform, "listen", "clear", "", 0)
	}
}

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

// schedule breaks the fleet until stop is closed: one fault, or two together, and a short rest.
func (f *onceFleet) schedule(rng *rand.Rand, stop <-chan struct{}) (names []string) {
	for {
		var both sync.WaitGroup
		picked := rng.Perm(len(onceFaults))[:1+rng.IntN(2)]
		if len(picked) == 2 && onceFaults[picked[0]].of == onceFaults[picked[1]].of {
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

// callers send each key one to three times, by any entry, while the schedule runs.
func (f *onceFleet) callers(rng *rand.Rand) (outcomes map[string][]string) {
	outcomes = map[string][]string{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for k := range onceKeys {
		key := fmt.Sprint("key-", k)
		begin := time.Duration(rng.Int64N(int64(onceSpan)))
		service := []string{"0s", "30ms", "400ms"}[rng.IntN(3)]
		for n := range 1 + rng.IntN(3) {
			entry := rng.IntN(2)
			later := begin + []time.Duration{0, time.Millisecond, 50 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second}[rng.IntN(5)]*time.Duration(n)
			all.Go(func() {
				time.Sleep(later)
				got := onceSend(f.url(entry), key, service, onceTimeout)
				mu.Lock()
				defer mu.Unlock()
				outcomes[key] = append(outcomes[key], got)
			})
		}
	}
	all.Wait()
	return outcomes
}

// Guards against a second execution of a request with a key (a second delivery, a lane booked
// twice) and against an answer without an execution, under one fault or two together.
func TestKeyedRequestRunsAtMostOnce(t *testing.T) {
	for n := range *onceSeeds {
		seed := *onceFirst + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			onceLanes <- struct{}{}
			defer func() { <-onceLanes }()
			f := startOnce(t)
			stop, done := make(chan struct{}), make(chan []string)
			go func() { done <- f.schedule(rand.New(rand.NewPCG(seed, 2)), stop) }()
			outcomes := f.callers(rand.New(rand.NewPCG(seed, 3)))
			close(stop)
			faults := <-done
			f.recovered("faults")
			// Held bytes have passed by now, and every key that ran must be refused from here on.
			before := f.executions()
			for key := range outcomes {
				got := onceSend(f.url(len(key)%2), key, "0s", onceTimeout)
				if before[key] > 0 && got != "duplicate" {
					t.Errorf("%s ran before and its resend got %q, want duplicate", key, got)
				}
				outcomes[key] = append(outcomes[key], got)
			}
			f.judge(outcomes, faults)
		})
	}
}

// judge compares the executions with what the callers were told.
func (f *onceFleet) judge(outcomes map[string][]string, faults []string) {
	f.t.Helper()
	told := map[string]int{}
	runs := f.executions()
	for key, got := range outcomes {
		answered, open := 0, 0
		for _, o := range got {
			told[o]++
			switch o {
			case "answered":
				answered++
			case "unknown", "":
				open++
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
		case n == 1 && answered+open == 0:
			f.t.Errorf("%s ran, but no caller was told so; outcomes %q", key, got)
		}
	}
	f.t.Logf("outcomes %v after faults %q", told, faults)
	if told["answered"] < onceKeys/4 || told["duplicate"] == 0 {
		f.t.Errorf("outcomes %v: too few answers or duplicates for the check to mean anything", told)
	}
}

// Guards against keyed requests that run unclaimed while the store is down, against unkeyed
// ones that are refused with them, and against keys that stay taken after a refusal.
func TestStoreOutageRefusesKeysOnly(t *testing.T) {
	t.Parallel()
	onceLanes <- struct{}{}
	defer func() { <-onceLanes }()
	f := startOnce(t)
	for _, mode := range []string{"down", "silent", "lost", "refuse"} {
		f.fault(f.platform, "listen", mode, "", 0)
		var keys []string
		for n := range 4 {
			key := fmt.Sprintf("%s-%d", mode, n)
			keys = append(keys, key)
			begin := time.Now()
			if got := onceSend(f.url(n%2), key, "0s", onceTimeout); got != "not-run" {
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
				return onceSend(f.url(n%2), key, "0s", onceTimeout) == "answered"
			})
		}
		for _, key := range keys {
			if got := f.executions()[key]; got != 1 {
				t.Errorf("%s ran %d times, want once", key, got)
			}
		}
	}
}
