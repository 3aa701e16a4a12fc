package main

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/fnv"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 10 * time.Second
	// endsPerAnswer is the number of ends that a minion returns at a time.
	endsPerAnswer = 500
	// tick is the interval at which a minion looks for runs that have ended.
	tick = 2 * time.Millisecond
	// stopTime is how long a run takes to stop; the sheet allows 900 ms.
	stopTime = 20 * time.Millisecond
)

// run is a run of a work item.
type run struct {
	task    string
	number  int
	started time.Time
	length  time.Duration
	// stopAt is when a stopped run ends, zero while it isn't stopped.
	stopAt time.Time
}

// Minion is a stand-in of a minion.
type Minion struct {
	ID, Rack, Service, Zone string
	CPU, Memory, GPU        int64
	Address, Control        string
	Ledger                  *Ledger

	mu   sync.Mutex
	life *life
	// health is how the minion answers calls.
	health health
	// mostEnds is the largest number of ends that were not taken note of.
	mostEnds int
}

// health is how a minion answers calls.
type health int

const (
	healthy health = iota
	// stalled leaves calls without an answer and without an effect.
	stalled
	// busy answers starts with 503 and does nothing.
	busy
)

// SetHealth changes how the minion answers calls.
func (m *Minion) SetHealth(h health) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health = h
	m.Ledger.Note("%s is %s", m.ID, [...]string{"healthy", "stalled", "busy"}[h])
}

// life is what one incarnation knows.
type life struct {
	minion   *Minion
	born     time.Time
	sequence int
	fence    uint64
	leaseEnd time.Time
	lapsed   bool
	runs     map[string]*run
	// highest is the highest run of a task that was stopped or has ended here.
	highest map[string]int
	ended   [][]any
	lastEnd uint64
	changed chan struct{}
}

func (l *life) clock() int64 { return 1000 + time.Since(l.born).Milliseconds() }

// Start begins the minion's life: it accepts calls, and then reports to its control address.
func (m *Minion) Start() error {
	listener, err := net.Listen("tcp", m.Address)
	if err != nil {
		return err
	}
	l := &life{
		minion: m, born: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	m.mu.Lock()
	m.life = l
	m.mu.Unlock()
	go func() { _ = (&http.Server{Handler: m}).Serve(listener) }()
	go m.beat(l)
	go func() {
		for range time.Tick(tick) {
			m.mu.Lock()
			l.endRuns(time.Now())
			m.mu.Unlock()
		}
	}()
	return nil
}

// beat sends a status report each heartbeat.
func (m *Minion) beat(l *life) {
	for {
		m.report(l)
		time.Sleep(heartbeat)
	}
}

// report sends a status report.
func (m *Minion) report(l *life) {
	m.mu.Lock()
	l.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": m.Service, "address": m.Address, "zone": m.Zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"sequence": l.sequence, "born": l.born.UnixMilli(), "clockMs": l.clock(), "labels": []string{"a", m.Rack},
		"capacity": map[string]int64{"cpu": m.CPU, "memMb": m.Memory, "gpu": m.GPU},
	})
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+m.Control+"/instances/"+m.ID, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		m.Ledger.Note("%s report has no answer", m.ID)
		return
	}
	_ = resp.Body.Close()
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"runId"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Fence    uint64 `json:"fence"`
	LastSeen uint64 `json:"lastSeen"`
	Wait     int64  `json:"waitMs"`
}

// ServeHTTP answers a call of the node beside the minion.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != m.ID {
		writeJSON(w, http.StatusMisdirectedRequest, nil)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	m.mu.Lock()
	l := m.life
	if m.health == stalled {
		m.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if m.health == busy && r.URL.Path == "/run-start" {
		m.mu.Unlock()
		writeJSON(w, http.StatusServiceUnavailable, nil)
		return
	}
	l.endRuns(time.Now())
	status, answer := l.carryOut(r.URL.Path, &o)
	if r.URL.Path == "/hold" && status == http.StatusOK {
		timeout := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
		for waiting := o.Wait > 0; waiting && len(l.ended) == 0; {
			changed := l.changed
			m.mu.Unlock()
			select {
			case <-changed:
			case <-timeout:
				waiting = false
			case <-r.Context().Done():
				return
			}
			m.mu.Lock()
		}
		answer = l.lists()
	}
	m.mu.Unlock()
	writeJSON(w, status, answer)
}

// runTime returns how long a work item runs. Its spec has the time, and after a tilde by how many percent the work items of a
// job differ; what follows a bar is padding.
func runTime(spec, task string) (time.Duration, error) {
	spec, _, _ = strings.Cut(spec, "|")
	mean, spread, _ := strings.Cut(spec, "~")
	d, err := time.ParseDuration(mean)
	if err != nil || spread == "" {
		return d, err
	}
	percent, err := strconv.Atoi(spread)
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(task))
	return d * time.Duration(1000+percent*(int(hash.Sum32()%21)-10)) / 1000, err
}

// carryOut carries out an order; the minion is locked.
func (l *life) carryOut(path string, o *order) (int, any) {
	refuse := func(reason string) (int, any) {
		return http.StatusConflict, map[string]any{"clockMs": l.clock(), "reason": reason}
	}
	if o.Fence < l.fence {
		return refuse("fence")
	}
	l.fence = o.Fence
	now := time.Now()
	if o.Deadline > 0 {
		end := l.born.Add(time.Duration(o.Deadline-1000) * time.Millisecond)
		if limit := now.Add(holdMax); end.After(limit) {
			end = limit
		}
		if end.After(l.leaseEnd) {
			l.leaseEnd = end
		}
	}
	ok := map[string]any{"clockMs": l.clock()}
	switch path {
	case "/run-start":
		if r := l.runs[o.Task]; r != nil && r.number == o.Run {
			return http.StatusOK, ok
		}
		if o.Run <= l.highest[o.Task] {
			return refuse("old")
		}
		if !now.Before(l.leaseEnd) {
			return refuse("late")
		}
		d, err := runTime(o.Spec, o.Task)
		if err != nil {
			return http.StatusBadRequest, nil
		}
		r := &run{task: o.Task, number: o.Run, started: now, length: d}
		l.runs[o.Task] = r
		l.minion.Ledger.Started(l.minion, r)
		return http.StatusOK, ok
	case "/run-stop":
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
		if r := l.runs[o.Task]; r != nil && r.number == o.Run && r.stopAt.IsZero() {
			r.stopAt = now.Add(stopTime)
		}
		return http.StatusOK, ok
	case "/hold":
		kept := l.ended[:0:0]
		for _, row := range l.ended {
			if row[0].(uint64) > o.LastSeen {
				kept = append(kept, row)
			} else if row[3] == "done" && !l.lapsed {
				l.minion.Ledger.Noted(row[1].(string), row[2].(int))
			}
		}
		l.ended = kept
		return http.StatusOK, ok
	}
	return http.StatusNotFound, nil
}

// lists returns what runs and what has ended.
func (l *life) lists() any {
	running := [][]any{}
	for _, r := range l.runs {
		percent := min(100, int(100*time.Since(r.started)/max(1, r.length)))
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	sort.Slice(running, func(a, b int) bool { return running[a][0].(string) < running[b][0].(string) })
	ended := append([][]any{}, l.ended[:min(len(l.ended), endsPerAnswer)]...)
	return map[string]any{"clockMs": l.clock(), "born": l.born.UnixMilli(), "running": running, "ended": ended}
}

// endRuns ends the runs whose work is done, that were stopped, or whose lease has run out; the minion is locked.
func (l *life) endRuns(now time.Time) {
	var due []*run
	for _, r := range l.runs {
		if now.Sub(r.started) >= r.length || !r.stopAt.IsZero() && !now.Before(r.stopAt) || !now.Before(l.leaseEnd) {
			due = append(due, r)
		}
	}
	sort.Slice(due, func(a, b int) bool { return due[a].task < due[b].task })
	for _, r := range due {
		how := "done"
		switch {
		case !now.Before(l.leaseEnd):
			how, l.lapsed = "lapsed", true
		case now.Sub(r.started) < r.length:
			how = "stopped"
		}
		delete(l.runs, r.task)
		l.highest[r.task] = max(l.highest[r.task], r.number)
		l.lastEnd++
		l.ended = append(l.ended, []any{l.lastEnd, r.task, r.number, how, ""})
		l.minion.Ledger.Ended(l.minion, r, how, l.lapsed)
	}
	l.minion.mostEnds = max(l.minion.mostEnds, len(l.ended))
	if len(due) > 0 {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// running returns the number of runs.
func (m *Minion) running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.life.runs)
}
