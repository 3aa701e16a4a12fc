package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// holdMax is the longest lease, stopTime how long a stopped run goes on; 900 ms are allowed.
	holdMax  = 10 * time.Second
	stopTime = 20 * time.Millisecond
	// startupTime is how long a lasting work item takes until it is at work.
	startupTime = 200 * time.Millisecond
	beatPause   = 1500 * time.Millisecond
	// checkpointPause is the time between two checkpoints.
	checkpointPause = 500 * time.Millisecond
	endsListed      = 500
	// capacity of a minion.
	minionCPU, minionMem, minionGPU = 128000, 262144, 8
)

// work is what a work item does. A job's spec carries it as JSON.
type work struct {
	// Millis is the duration of the work; 0 means that the work item lasts.
	Millis int64 `json:"workMs,omitempty"`
	// FailMillis is after how long the run fails, 0 for never.
	FailMillis int64 `json:"failMs,omitempty"`
	// Need of a work item.
	CPU, Mem, GPU int64
	// Saved is the form of the names of the work item's checkpoints, empty if it writes none: %s stands for the work item and %d for the
	// number of the checkpoint.
	Saved string `json:"saved,omitempty"`
	// Uneven means that work items take from half to one and a half times as long.
	Uneven bool `json:"uneven,omitempty"`
}

// execution is a run on a minion.
type execution struct {
	task    string
	number  int
	work    work
	begun   time.Time
	stopAt  time.Time
	percent int
}

// minion is a minion as the pages describe it. It doesn't guard its capacity.
type minion struct {
	sys     *system
	id      string
	zone    string
	rack    string
	control string
	born    int64
	address string

	mu       sync.Mutex
	start    time.Time
	runs     map[string]*execution
	highest  map[string]int
	ends     [][]any
	number   uint64
	fence    uint64
	lease    time.Time
	sequence int
	acked    bool
	crashed  bool
}

func newMinion(sys *system, id, zone, rack string) *minion {
	return &minion{
		sys: sys, id: id, zone: zone, rack: rack, born: time.Now().UnixMilli(), start: time.Now(),
		runs: map[string]*execution{}, highest: map[string]int{},
	}
}

// gate is the address of a minion and what lies between it and its agent: it can hold up a call and deliver it seconds later.
type gate struct {
	sys     *system
	address string
	// hold returns after which time a call is delivered, 0 for at once. Nil delivers all calls at once.
	hold func(path string, c *minionCall) time.Duration

	mu     sync.Mutex
	now    *minion
	server *http.Server
}

// up lets a minion accept calls at the address.
func (g *gate) up(m *minion) error {
	l, err := net.Listen("tcp", g.address)
	if err != nil {
		return err
	}
	m.address = g.address
	server := &http.Server{Handler: g}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now, g.server = m, server
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends the minion and everything that runs on it; its port refuses connections.
func (g *gate) crash() {
	g.mu.Lock()
	m, server := g.now, g.server
	g.now = nil
	g.mu.Unlock()
	server.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
	for task := range m.runs {
		m.sys.noteGone(task, m)
	}
	m.runs = map[string]*execution{}
	m.sys.record("minion %s of %d: crashes", m.id, m.born)
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c minionCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	target := r.Header.Get("X-Target-Instance")
	if g.hold != nil {
		if late := g.hold(r.URL.Path, &c); late > 0 {
			g.sys.record("network: a call %s for %s run %d to %s gets no answer and is delivered %v later", r.URL.Path, c.Task, c.Run, target, late)
			time.AfterFunc(late, func() {
				g.mu.Lock()
				m := g.now
				g.mu.Unlock()
				if m == nil || target != m.id {
					return
				}
				status, answer := m.handle(r.URL.Path, &c)
				g.sys.record("network: the call %s for %s run %d reaches minion %s of %d: %d %v", r.URL.Path, c.Task, c.Run, m.id, m.born, status, answer)
			})
			<-r.Context().Done()
			return
		}
	}
	g.mu.Lock()
	m := g.now
	g.mu.Unlock()
	if m == nil {
		panic(http.ErrAbortHandler)
	}
	m.serveCall(w, r, target, &c)
}

// beat sends status reports to the agent until the minion crashes.
func (m *minion) beat() {
	for {
		m.mu.Lock()
		if m.crashed {
			m.mu.Unlock()
			return
		}
		m.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]int{"cpu": minionCPU, "memMb": minionMem, "gpu": minionGPU},
			"labels":   []string{"a", m.rack}, "clockMs": m.clock(), "sequence": m.sequence, "born": m.born,
		})
		m.mu.Unlock()
		client := http.Client{Timeout: time.Second}
		req, _ := http.NewRequest(http.MethodPut, "http://"+m.control+"/instances/"+m.id, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		pause := beatPause
		if resp, err := client.Do(req); err != nil || resp.StatusCode/100 != 2 {
			pause = 200 * time.Millisecond
			if err == nil {
				resp.Body.Close()
			}
		} else {
			resp.Body.Close()
			m.mu.Lock()
			m.acked = true
			m.mu.Unlock()
		}
		time.Sleep(pause)
	}
}

// clock returns the minion's steady clock in ms.
func (m *minion) clock() int64 { return 1000 + time.Since(m.start).Milliseconds() }

type minionCall struct {
	Task       string `json:"task"`
	Run        int    `json:"runId"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
	LastSeen   uint64 `json:"lastSeen"`
	Wait       int64  `json:"waitMs"`
	Checkpoint string `json:"checkpoint"`
}

func (m *minion) serveCall(w http.ResponseWriter, r *http.Request, target string, c *minionCall) {
	if target != "" && target != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := m.handle(r.URL.Path, c)
	if r.URL.Path == "/hold" && status == http.StatusOK && c.Wait > 0 {
		end := time.Now().Add(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
		for time.Now().Before(end) && r.Context().Err() == nil && len(body["ended"].([][]any)) == 0 {
			time.Sleep(5 * time.Millisecond)
			m.mu.Lock()
			m.advance(time.Now())
			body = m.lists()
			m.mu.Unlock()
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// handle carries out a call.
func (m *minion) handle(path string, c *minionCall) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.advance(now)
	if c.Fence < m.fence {
		return http.StatusConflict, map[string]any{"clockMs": m.clock(), "born": m.born, "reason": "fence"}
	}
	m.fence = c.Fence
	if c.Deadline > 0 {
		end := m.start.Add(time.Duration(c.Deadline-1000) * time.Millisecond)
		if latest := now.Add(holdMax); end.After(latest) {
			end = latest
		}
		if end.After(m.lease) {
			m.lease = end
		}
	}
	switch path {
	case "/run-start":
		return m.startRun(now, c)
	case "/run-stop":
		m.highest[c.Task] = max(m.highest[c.Task], c.Run)
		if r := m.runs[c.Task]; r != nil && r.number <= c.Run && r.stopAt.IsZero() {
			r.stopAt = now.Add(stopTime)
			m.sys.record("minion %s: stop of %s run %d at %d percent", m.id, c.Task, c.Run, r.percent)
		}
		return http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born}
	case "/hold":
		kept := m.ends[:0]
		for _, e := range m.ends {
			if e[0].(uint64) > c.LastSeen {
				kept = append(kept, e)
			}
		}
		m.ends = kept
		return http.StatusOK, m.lists()
	}
	return http.StatusNotFound, map[string]any{}
}

func (m *minion) startRun(now time.Time, c *minionCall) (int, map[string]any) {
	if r := m.runs[c.Task]; r != nil && r.number == c.Run {
		return http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born}
	}
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"clockMs": m.clock(), "born": m.born, "reason": reason}
	}
	if c.Run <= m.highest[c.Task] {
		return refuse("old")
	}
	if !now.Before(m.lease) {
		return refuse("late")
	}
	r := &execution{task: c.Task, number: c.Run, begun: now}
	if err := json.Unmarshal([]byte(c.Spec), &r.work); err != nil {
		return http.StatusBadRequest, map[string]any{"clockMs": m.clock(), "born": m.born}
	}
	if r.work.Uneven {
		r.work.Millis = r.work.Millis * int64(50+crc32.ChecksumIEEE([]byte(c.Task))%101) / 100
	}
	m.runs[c.Task] = r
	m.sys.noteStart(c.Task, m)
	m.sys.record("minion %s: start of %s run %d", m.id, c.Task, c.Run)
	return http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born}
}

// checkpoint returns the name of the run's last checkpoint; one is written every checkpointPause.
func (r *execution) checkpoint(now time.Time) string {
	n := now.Sub(r.begun) / checkpointPause
	if r.work.Saved == "" || n == 0 {
		return ""
	}
	return fmt.Sprintf(r.work.Saved, r.task, n)
}

// advance ends the runs that have ended by now.
func (m *minion) advance(now time.Time) {
	names := make([]string, 0, len(m.runs))
	for name := range m.runs {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		r := m.runs[name]
		age := now.Sub(r.begun)
		switch {
		case r.work.Millis > 0:
			r.percent = int(min(100, 100*age.Milliseconds()/r.work.Millis))
		case age >= startupTime:
			r.percent = 100
		}
		switch {
		case !now.Before(m.lease):
			m.end(r, "lapsed")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			m.end(r, "stopped")
		case r.work.FailMillis > 0 && age.Milliseconds() >= r.work.FailMillis:
			m.end(r, "failed")
		case r.work.Millis > 0 && age.Milliseconds() >= r.work.Millis:
			m.end(r, "done")
		}
	}
}

func (m *minion) end(r *execution, how string) {
	delete(m.runs, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.number++
	m.ends = append(m.ends, []any{m.number, r.task, r.number, how, r.checkpoint(time.Now())})
	m.sys.noteEnd(r.task, m, how)
	m.sys.record("minion %s: end of %s run %d: %s", m.id, r.task, r.number, how)
}

func (m *minion) lists() map[string]any {
	running, now := [][]any{}, time.Now()
	for _, r := range m.runs {
		running = append(running, []any{r.task, r.number, r.checkpoint(now), r.percent, 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	ended := append([][]any{}, m.ends[:min(len(m.ends), endsListed)]...)
	return map[string]any{"clockMs": m.clock(), "born": m.born, "running": running, "ended": ended}
}

// usage returns what runs here: the amounts in use and the number of runs of each job.
func (m *minion) usage(now time.Time, running map[string]int) (cpu, mem, gpu int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	for _, r := range m.runs {
		cpu, mem, gpu = cpu+r.work.CPU, mem+r.work.Mem, gpu+r.work.GPU
		running[strings.SplitN(r.task, ".", 2)[0]]++
	}
	return cpu, mem, gpu
}

func (m *minion) String() string { return fmt.Sprintf("%s (%s, %s)", m.id, m.zone, m.rack) }
