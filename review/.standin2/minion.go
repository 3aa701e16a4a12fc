package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// minion is one life of a minion, by the platform's page on running work items. A work item's spec is its run time in ms; that of a work
// item that lasts is ignored.
type minion struct {
	site     *site
	id       string
	address  string
	service  string
	labels   []string
	born     int64
	capacity amount
	hold     time.Duration
	stopTime time.Duration
	// failAfter returns after which time a run fails, 0 if it doesn't.
	failAfter func(task string, run int) time.Duration
	// uneven is by which share the run times of work items differ from their spec at most.
	uneven float64

	mu       sync.Mutex
	wake     *sync.Cond
	sequence uint64
	down     bool
	// draining is set before the minion leaves.
	draining bool
	// suspendedAt is when the suspension began, zero without one; suspended is the time of all earlier ones.
	suspendedAt time.Time
	suspended   time.Duration
	startedAt   time.Time
	leaseEnd    int64
	fence       uint64
	number      uint64
	runs        map[string]*run
	barred      map[string]int
	ended       [][]any
	spans       []*span
	pauses      [][2]time.Time
}

// drainTime is how long a minion goes on after the acknowledgement that it drains (drainMs).
const drainTime = 2500 * time.Millisecond

type amount struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"memMb"`
	GPU    int64 `json:"gpu"`
}

// run is a run; times are in ms on the minion's clock.
type run struct {
	task                 string
	number               int
	begun, length, fails int64
	stopAt               int64
	span                 *span
}

// span is the time of a run, as the minion saw it.
type span struct {
	minion     *minion
	task       string
	run        int
	begin, end time.Time
	how        string
}

// firstClock is the minion's clock at its start, in ms.
const firstClock = 1000

func newMinion(s *site, id string, gpu int64, hold time.Duration, labels ...string) *minion {
	m := &minion{
		site: s, id: id, service: "svc", labels: labels, born: time.Now().UnixMilli(), capacity: amount{128000, 262144, gpu},
		hold: hold, stopTime: 400 * time.Millisecond, startedAt: time.Now(), runs: map[string]*run{}, barred: map[string]int{},
	}
	m.wake = sync.NewCond(&m.mu)
	go m.tick()
	return m
}

// begin sets the start of this life to the present, before anybody reaches it.
func (m *minion) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startedAt, m.born = time.Now(), time.Now().UnixMilli()
}

// clock returns the minion's steady clock in ms, which doesn't count suspensions.
func (m *minion) clock() int64 {
	now := time.Now()
	if !m.suspendedAt.IsZero() {
		now = m.suspendedAt
	}
	return firstClock + (now.Sub(m.startedAt) - m.suspended).Milliseconds()
}

func (m *minion) suspend() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update()
	m.suspendedAt = time.Now()
}

func (m *minion) resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pauses = append(m.pauses, [2]time.Time{m.suspendedAt, time.Now()})
	m.suspended += time.Since(m.suspendedAt)
	m.suspendedAt = time.Time{}
	m.wake.Broadcast()
}

// awaitWake waits until the minion isn't suspended.
func (m *minion) awaitWake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.awaitWakeLocked()
}

func (m *minion) awaitWakeLocked() {
	for !m.suspendedAt.IsZero() {
		m.wake.Wait()
	}
}

// crash ends this life of the minion with all that runs on it.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = true
	for _, r := range m.runs {
		r.span.end, r.span.how = time.Now(), "crashed"
	}
	m.runs = map[string]*run{}
	m.site.record("minion %s crashes", m.id)
}

func (m *minion) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}

// reportBody returns the body of the next status report.
func (m *minion) reportBody() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	return m.statusBody(m.sequence, m.service)
}

func (m *minion) statusBody(sequence uint64, service string) []byte {
	fields := map[string]any{
		"service": service, "address": m.address, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": m.capacity, "labels": m.labels, "clockMs": m.clock(), "sequence": sequence, "born": m.born,
	}
	if m.draining {
		fields["state"], fields["remainingMs"] = "draining", drainTime.Milliseconds()
	}
	body, err := json.Marshal(fields)
	if err != nil {
		fail("%v", err)
	}
	return body
}

// tick ends runs in time, also while nobody calls.
func (m *minion) tick() {
	for {
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
		if m.down {
			m.mu.Unlock()
			return
		}
		if m.suspendedAt.IsZero() {
			m.update()
		}
		m.mu.Unlock()
	}
}

// update ends the runs whose work is done, that fail, that were stopped, or whose lease has expired.
func (m *minion) update() {
	now := m.clock()
	for _, r := range m.sorted() {
		switch {
		case now >= m.leaseEnd:
			m.end(r, "lapsed")
		case r.stopAt != 0 && now >= r.stopAt:
			m.end(r, "stopped")
		case r.fails != 0 && now >= r.begun+r.fails:
			m.end(r, "failed")
		case m.site.gangs.member(r.task):
			m.updateGang(r, now)
		case r.length != 0 && now >= r.begun+r.length:
			m.end(r, "done")
		}
	}
}

// updateGang ends a member of a gang whose work is done, whose gang has ended, or that has waited too long for the others.
func (m *minion) updateGang(r *run, now int64) {
	complete, begun, how := m.site.gangs.look(r.task, r.number)
	switch {
	case how != "":
		m.end(r, how)
	case !complete && now >= r.begun+gangWait.Milliseconds():
		m.end(r, "alone")
	case complete && time.Since(begun).Milliseconds() >= r.length:
		m.end(r, "done")
	}
}

func (m *minion) sorted() []*run {
	list := make([]*run, 0, len(m.runs))
	for _, r := range m.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].task < list[j].task })
	return list
}

func (m *minion) end(r *run, how string) {
	delete(m.runs, r.task)
	m.barred[r.task] = max(m.barred[r.task], r.number)
	m.number++
	m.ended = append(m.ended, []any{m.number, r.task, r.number, how, ""})
	r.span.end, r.span.how = time.Now(), how
	m.site.gangs.end(r.task, r.number, how)
	m.site.record("minion %s: run %d of %s ends %s", m.id, r.number, r.task, how)
}

// order is the body of any call.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"runId"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Fence    uint64 `json:"fence"`
	LastSeen uint64 `json:"lastSeen"`
	Wait     int64  `json:"waitMs"`
}

// ServeHTTP handles the agent's calls.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.awaitWake()
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if m.isDown() {
		panic(http.ErrAbortHandler)
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, answer := m.carryOut(r.URL.Path, &o)
	if status == http.StatusOK && r.URL.Path == "/hold" {
		m.awaitEnd(r, time.Duration(o.Wait)*time.Millisecond)
		answer = m.lists()
	}
	m.awaitWake()
	if m.isDown() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// awaitEnd waits until there is an end that isn't forgotten, at most for a time.
func (m *minion) awaitEnd(r *http.Request, wait time.Duration) {
	for until := time.Now().Add(wait); time.Now().Before(until); {
		m.mu.Lock()
		ready := len(m.ended) > 0 || m.down
		m.mu.Unlock()
		if ready || r.Context().Err() != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (m *minion) carryOut(path string, o *order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.awaitWakeLocked()
	m.update()
	answer := map[string]any{"clockMs": m.clock(), "born": m.born}
	if o.Fence < m.fence {
		answer["reason"] = "fence"
		return http.StatusConflict, answer
	}
	m.fence = o.Fence
	m.leaseEnd = max(m.leaseEnd, min(o.Deadline, m.clock()+m.hold.Milliseconds()))
	switch path {
	case "/hold":
		kept := m.ended[:0]
		for _, row := range m.ended {
			if row[0].(uint64) > o.LastSeen {
				kept = append(kept, row)
			}
		}
		m.ended = kept
		return http.StatusOK, answer
	case "/run-stop":
		m.barred[o.Task] = max(m.barred[o.Task], o.Run)
		if r := m.runs[o.Task]; r != nil && r.number == o.Run && r.stopAt == 0 {
			r.stopAt = m.clock() + m.stopTime.Milliseconds()
			m.site.record("minion %s: stop of run %d of %s ordered, fence %d", m.id, o.Run, o.Task, o.Fence)
		}
		return http.StatusOK, answer
	case "/run-start":
		return m.startRun(o, answer)
	}
	return http.StatusNotFound, answer
}

func (m *minion) startRun(o *order, answer map[string]any) (int, map[string]any) {
	if r := m.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, answer
	}
	reason := ""
	switch {
	case o.Run <= m.barred[o.Task] || m.runs[o.Task] != nil && m.runs[o.Task].number > o.Run:
		reason = "old"
	case m.clock() >= m.leaseEnd:
		reason = "late"
	}
	if reason != "" {
		m.site.record("minion %s: run %d of %s rejected: %s", m.id, o.Run, o.Task, reason)
		answer["reason"] = reason
		return http.StatusConflict, answer
	}
	r := &run{task: o.Task, number: o.Run, begun: m.clock()}
	if length, err := strconv.ParseInt(o.Spec, 10, 64); err == nil {
		r.length = int64(float64(length) * (1 + m.uneven*unevenness(o.Task)))
	}
	if m.failAfter != nil {
		r.fails = m.failAfter(o.Task, o.Run).Milliseconds()
	}
	r.span = &span{minion: m, task: o.Task, run: o.Run, begin: time.Now()}
	m.runs[o.Task] = r
	m.site.gangs.begin(o.Task, o.Run)
	m.spans = append(m.spans, r.span)
	m.site.record("minion %s: run %d of %s begins, fence %d", m.id, o.Run, o.Task, o.Fence)
	return http.StatusOK, answer
}

// unevenness returns a number from -1 to 1 that differs from work item to work item.
func unevenness(task string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return float64(h.Sum32()%2001)/1000 - 1
}

// lists returns the lists of runs and ends.
func (m *minion) lists() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.awaitWakeLocked()
	m.update()
	running := [][]any{}
	for _, r := range m.sorted() {
		percent := int64(100)
		if r.length != 0 {
			percent = min(99, 100*(m.clock()-r.begun)/r.length)
		}
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	ended := append([][]any{}, m.ended[:min(len(m.ended), 500)]...)
	return map[string]any{"clockMs": m.clock(), "born": m.born, "running": running, "ended": ended}
}

// spansOf returns the spans of the runs of a job, or of all jobs if it is empty.
func (m *minion) spansOf(job string) []span {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []span
	for _, s := range m.spans {
		if job == "" || strings.HasPrefix(s.task, job+".") {
			list = append(list, *s)
		}
	}
	return list
}

// freeGPU returns the accelerators that no run uses, if each run uses gpu of them.
func (m *minion) freeGPU(gpu int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.capacity.GPU - gpu*int64(len(m.runs))
}

func (s *span) String() string {
	return fmt.Sprintf("run %d of %s on %s", s.run, s.task, s.minion.id)
}
