package room

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

const never = time.Duration(math.MaxInt64)

// machine is a worker of the reference with the ends of its runs.
type machine struct {
	capacity batch.Amount
	usableAt time.Duration
	runs     []machineRun
}

type machineRun struct {
	need batch.Amount
	end  time.Duration
}

func (m *machine) free(now time.Duration) batch.Amount {
	free := m.capacity
	if now < m.usableAt {
		return batch.Amount{}
	}
	for _, r := range m.runs {
		if r.end > now {
			free = free.Sub(r.need)
		}
	}
	return free
}

// reference places waiting work on single machines, in its order, as soon as it fits. With backfill, work that doesn't fit doesn't hold
// up what comes after it. It returns when the work at the index probe starts.
func reference(rng *rand.Rand, machines []*machine, order []*Work, probe int, backfill bool) time.Duration {
	left := make([]int, len(order))
	for i, w := range order {
		left[i] = w.Count
	}
	for now := time.Duration(0); ; {
		for i, w := range order {
			var chosen []*machine
			for len(chosen) < left[i] {
				m := place(rng, machines, now, w, chosen)
				if m == nil {
					break
				}
				chosen = append(chosen, m)
			}
			if w.Gang && len(chosen) < w.Count {
				chosen = nil
			}
			if i == probe && len(chosen) > 0 {
				return now
			}
			left[i] -= len(chosen)
			for _, m := range chosen {
				m.runs = append(m.runs, machineRun{w.Need, now + w.RunTime})
			}
			if !backfill && left[i] > 0 {
				break
			}
		}
		next := never
		for _, m := range machines {
			if m.usableAt > now {
				next = min(next, m.usableAt)
			}
			for _, r := range m.runs {
				if r.end > now {
					next = min(next, r.end)
				}
			}
		}
		if next == never {
			return never
		}
		now = next
	}
}

// place returns a random machine with room for a task besides those chosen, or nil.
func place(rng *rand.Rand, machines []*machine, now time.Duration, w *Work, chosen []*machine) *machine {
	var fitting []*machine
	for _, m := range machines {
		free := m.free(now)
		for _, c := range chosen {
			if c == m {
				free = free.Sub(w.Need)
			}
		}
		if free.Contains(w.Need) {
			fitting = append(fitting, m)
		}
	}
	if len(fitting) == 0 {
		return nil
	}
	return fitting[rng.Intn(len(fitting))]
}

// generated is a random state with the machines that it is the sum of.
type generated struct {
	state    State
	machines []*machine
	// probe is the work whose start is compared.
	probe Work
	order []*Work
	at    int
}

func randomNeed(rng *rand.Rand, needs int) batch.Amount {
	gpu := int64(1) << rng.Intn(needs)
	cpu := gpu * 1000
	if needs > 1 && rng.Intn(3) == 0 {
		cpu = int64(1+rng.Intn(8)) * 1000
	}
	return batch.Amount{CPU: cpu, Memory: 100, GPU: gpu}
}

// generate returns a random state; needs is the number of sizes of tasks.
func generate(rng *rand.Rand, needs int, gangs bool) *generated {
	g := &generated{}
	service := &Service{}
	for range 1 + rng.Intn(5) {
		m := &machine{capacity: batch.Amount{CPU: 16000, Memory: 1600, GPU: 8}}
		if rng.Intn(8) == 0 {
			m.usableAt = time.Duration(rng.Intn(5000)) * time.Millisecond
			service.Returns = append(service.Returns, Return{m.usableAt, m.capacity})
		} else {
			service.Capacity = service.Capacity.Add(m.capacity)
			for m.free(0).GPU > 0 && rng.Intn(6) > 0 {
				r := machineRun{randomNeed(rng, needs), time.Duration(1+rng.Intn(8000)) * time.Millisecond}
				if !m.free(0).Contains(r.need) {
					break
				}
				m.runs = append(m.runs, r)
				service.Runs = append(service.Runs, Run{Need: r.need, Remaining: r.end, Priority: 1})
			}
		}
		g.machines = append(g.machines, m)
	}
	for range rng.Intn(40) {
		w := Work{
			Gang:     gangs && rng.Intn(4) == 0,
			Priority: 1 + rng.Intn(2), First: rng.Intn(10) == 0, Deadline: time.Duration(rng.Intn(20000)) * time.Millisecond, Useless: never,
			Need: randomNeed(rng, needs), Count: 1 + rng.Intn(4), RunTime: time.Duration(1+rng.Intn(5000)) * time.Millisecond,
		}
		w.Queue, w.Objective = fmt.Sprint("q", w.Priority), w.Deadline+time.Millisecond
		service.Waiting = append(service.Waiting, w)
	}
	less := func(a, b *Work) bool {
		switch {
		case a.First != b.First:
			return a.First
		case a.First:
			return false
		case a.Priority != b.Priority:
			return a.Priority < b.Priority
		}
		return a.Deadline < b.Deadline
	}
	slices.SortStableFunc(service.Waiting, func(a, b Work) int {
		switch {
		case less(&a, &b):
			return -1
		case less(&b, &a):
			return 1
		}
		return 0
	})
	g.probe = Work{Priority: 1 + rng.Intn(2), Objective: time.Duration(rng.Intn(25000)) * time.Millisecond, Need: randomNeed(rng, needs), Count: 1, RunTime: time.Second}
	if gangs && rng.Intn(2) == 0 {
		g.probe.Gang, g.probe.Count = true, 1+rng.Intn(5)
	}
	g.probe.Deadline = g.probe.Objective
	g.probe.Queue = fmt.Sprint("q", g.probe.Priority)
	g.at = -1
	for i := range service.Waiting {
		if g.at < 0 && less(&g.probe, &service.Waiting[i]) {
			g.at = len(g.order)
			g.order = append(g.order, &g.probe)
		}
		g.order = append(g.order, &service.Waiting[i])
	}
	if g.at < 0 {
		g.at = len(g.order)
		g.order = append(g.order, &g.probe)
	}
	g.state = State{
		Services: map[string]*Service{"svc": service},
		Queues:   []Queue{{Name: "q1", Service: "svc", Priority: 1}, {Name: "q2", Service: "svc", Priority: 2}},
	}
	return g
}

// A job that is refused although it could have started in time is lost for nothing. The forecast must not exceed the time at which a
// placement in order on single machines starts the task, whatever the fragmentation, also after it was sent.
func TestForecastIsALowerBound(t *testing.T) {
	waits := 0
	for seed := range int64(6000) {
		rng := rand.New(rand.NewSource(seed))
		g := generate(rng, 1+rng.Intn(4), rng.Intn(2) == 0)
		f := g.state.Forecast()
		data, err := f.Encode()
		if err != nil {
			t.Fatal(err)
		}
		sent, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		got := sent.Wait(g.probe.Queue, g.probe.size(), g.probe.Objective)
		if local := f.Wait(g.probe.Queue, g.probe.size(), g.probe.Objective); got != local {
			t.Fatalf("seed %d: got %v after it was sent, want %v", seed, got, local)
		}
		want := reference(rng, g.machines, g.order, g.at, false)
		if got > want {
			t.Errorf("seed %d: got a forecast of %v, but the reference starts the task after %v", seed, got, want)
		}
		if got > 0 {
			waits++
		}
	}
	if waits < 1000 {
		t.Errorf("got %d states in which a task has to wait, want at least 1000", waits)
	}
}

// A bound far below the wait admits what can't be in time. For tasks of one size, which leave no fragments, it must be exact but for
// the rounding of the ends of runs.
func TestForecastIsExactForEqualTasks(t *testing.T) {
	compared := 0
	for seed := range int64(2000) {
		rng := rand.New(rand.NewSource(seed))
		g := generate(rng, 1, false)
		// One of the points of the forecast.
		f := g.state.Forecast()
		i := slices.IndexFunc(f.Queues, func(q QueueForecast) bool { return q.Name == g.probe.Queue })
		if i < 0 {
			continue
		}
		objectives := f.Queues[i].Objectives
		if g.probe.Objective < objectives[len(objectives)-1] {
			continue
		}
		got := f.Wait(g.probe.Queue, g.probe.size(), g.probe.Objective)
		want := reference(rng, g.machines, g.order, g.at, false)
		if tolerance := 230*time.Millisecond + want/50; got < want-tolerance {
			t.Errorf("seed %d: got %v, want %v", seed, got, want)
		}
		compared++
	}
	if compared < 200 {
		t.Errorf("got %d states to compare, want at least 200", compared)
	}
}

// Twenty queues whose work needs many sizes, and the longest numbers, must fit into an answer, and an entry must reject what doesn't.
func TestForecastFitsIntoAnAnswer(t *testing.T) {
	state := State{Services: map[string]*Service{"svc": {Capacity: batch.Amount{CPU: 1 << 20, Memory: 1 << 30, GPU: 8}}}, Use: map[model.Team]batch.Amount{}}
	service := state.Services["svc"]
	for q := range 20 {
		name := fmt.Sprintf("queue-of-a-customer-%02d", q)
		state.Queues = append(state.Queues, Queue{Name: name, Service: "svc", Priority: 1, Target: time.Second})
		for i := range 12 {
			service.Waiting = append(service.Waiting, Work{
				Queue: name, Priority: 1, Deadline: time.Duration(q*12+i) * time.Minute, Useless: never, Objective: time.Duration(90+i) * time.Minute,
				Need: batch.Amount{CPU: 100000 + int64(i), Memory: 1<<20 + int64(i), GPU: 8}, Count: 1, RunTime: 4 * time.Minute,
			})
		}
		state.Use[model.Team(fmt.Sprintf("a-team-with-a-name-%d", q))] = batch.Amount{GPU: int64(q + 1)}
	}
	f := state.Forecast()
	f.Fence, f.Number = math.MaxUint64, math.MaxUint64
	data, err := f.Encode()
	if err != nil {
		t.Fatal(err)
	}
	sent, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > MaxEncoded || len(sent.Queues) != 20 {
		t.Errorf("got %d bytes with %d queues, want at most %d with 20", len(data), len(sent.Queues), MaxEncoded)
	}
	f.Queues = append(f.Queues, f.Queues...)
	if data, err = f.Encode(); err != nil || len(data) > MaxEncoded {
		t.Errorf("forecast of forty queues: got %d bytes, %v, want at most %d", len(data), err, MaxEncoded)
	}
}

// Work that can't start before it is useless comes last. Counted as ahead, it would refuse jobs that are placed before it.
func TestUselessWorkIsNotAhead(t *testing.T) {
	service := &Service{Capacity: batch.Amount{CPU: 1000, Memory: 100, GPU: 1}}
	for i := range 10 {
		service.Waiting = append(service.Waiting, Work{
			Queue: "q", Priority: 1, Deadline: time.Duration(i) * time.Millisecond, Useless: 25 * time.Second, Objective: 5 * time.Second,
			Need: service.Capacity, Count: 1, RunTime: 10 * time.Second,
		})
	}
	state := State{Services: map[string]*Service{"svc": service}, Queues: []Queue{{Name: "q", Service: "svc", Priority: 1}}}
	f := state.Forecast()
	// The first three start after 0, 10 and 20 s.
	if got, want := f.Wait("q", Size{service.Capacity, 1}, 5*time.Second), 30*time.Second; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Without a usable worker, nothing says when there will be one; after a loss of all workers, jobs must not be refused until the last
// one is back.
func TestNoForecastWithoutWorkers(t *testing.T) {
	waiting := []Work{{Queue: "q", Priority: 1, Useless: never, Need: batch.Amount{CPU: 1}, Count: 1, RunTime: time.Hour}}
	for _, service := range []*Service{{Waiting: waiting}, {Waiting: waiting, Capacity: batch.Amount{Memory: 1}}} {
		state := State{Services: map[string]*Service{"svc": service}, Queues: []Queue{{Name: "q", Service: "svc", Priority: 1}}}
		f := state.Forecast()
		if got := f.Wait("q", Size{batch.Amount{CPU: 2}, 1}, time.Hour); got != 0 {
			t.Errorf("capacity %+v: got a forecast of %v, want none", service.Capacity, got)
		}
	}
}

// FuzzDecode checks that what another process sends can't make an entry panic, and that what is decoded can be used.
func FuzzDecode(f *testing.F) {
	g := generate(rand.New(rand.NewSource(1)), 4, true)
	forecast := g.state.Forecast()
	data, err := forecast.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x85, 1, 1, 0, 0x81, 0x84, 0x61, 'q', 0x80, 0x80, 0x81, 1, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := Decode(data)
		if err != nil {
			return
		}
		for i := range decoded.Queues {
			if wait := decoded.Wait(decoded.Queues[i].Name, Size{batch.Amount{CPU: 1 << 40}, 1 << 40}, time.Hour); wait < 0 || wait > maxWait {
				t.Errorf("got a wait of %v, want 0 to %v", wait, maxWait)
			}
		}
	})
}

// The scheduler backfills, so that work may start before work ahead of it that finds no room. Only work that has room wherever a task has it
// counts as ahead of the task. Among such work of several sizes, backfilling may still change the order; the forecast must then hardly
// ever be above the start.
func TestForecastBesideBackfilling(t *testing.T) {
	waits, above := 0, 0
	most := 0.0
	for seed := range int64(6000) {
		rng := rand.New(rand.NewSource(seed))
		g := generate(rng, 1+rng.Intn(4), rng.Intn(2) == 0)
		f := g.state.Forecast()
		got := f.Wait(g.probe.Queue, g.probe.size(), g.probe.Objective)
		if got == 0 {
			continue
		}
		waits++
		if want := reference(rng, g.machines, g.order, g.at, true); got > want {
			above++
			most = max(most, float64(got)/float64(want))
		}
	}
	t.Logf("%d states with a wait: above the start in %d, at most %.2f times as long", waits, above, most)
	if above*50 > waits || waits < 1000 {
		t.Errorf("the forecast is above the start in %d of %d states, want at most 2 %% of at least 1000", above, waits)
	}
}
