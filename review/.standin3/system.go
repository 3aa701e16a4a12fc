package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"wagtailhoist/platform/fakes"
)

const (
	serviceName = "huvo11a"
	host        = "nony24.example"
	apiKey      = "d4a3hwrr6x73d3zji9n7"
	// Bounds of the small deployments.
	finishTime = 14 * time.Second
	idleLimit  = 3 * time.Second
	deadlineMs = 3000
)

// queue is a route of the desired state.
type queue struct {
	name, prefix      string
	priority          int
	maxAttempts       int
	stretch           float64
	targetLatencyMs   int
	taskCPU, taskMem  int64
	meanWorkMillis    int64
	minTasks, maxTask int
}

// queues are those of the first deployment, with the sizes of their jobs.
var queues = []queue{
	{"route-plan", "/lohu930/", 1, 3, 3, 1200, 52000, 60000, 6800, 1, 3},
	{"stock-check", "/pufi791/", 0, 4, 1.5, 500, 15000, 22000, 2500, 1, 4},
	{"load-price", "/pule252/", 2, 2, 3, 3000, 11000, 16000, 9500, 4, 12},
}

// step is a step in the body of a submission.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	Mem           int64  `json:"memMb,omitempty"`
	GPU           int64  `json:"gpu,omitempty"`
	Estimate      int64  `json:"estimateMs,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	MaxPerServer  int    `json:"maxPerServer,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
}

// job is a submitted job with one step.
type job struct {
	id    string
	queue *queue
	step  step
	work  work
	// hopeless jobs aren't judged.
	hopeless bool
	// pad is the number of bytes that the spec has besides.
	pad       int
	submitted time.Time
	accepted  bool
	done      int
	// idleSince is since when the job has had nothing running although it could, zero otherwise.
	idleSince time.Time
	longest   time.Duration
	idleNoted bool
	starts    int
}

// system is a deployment: the store, three desks, and agents with their minions.
type system struct {
	dir     string
	log     *os.File
	logMu   sync.Mutex
	begun   time.Time
	store   fakes.Store
	stores  string
	desks   []*process
	agents  []*process
	minions []*minion
	gates   []*gate
	client  *http.Client

	// stopping is held while a process starts, and while all are ended.
	stopping sync.Mutex
	stopped  bool

	mu   sync.Mutex
	jobs map[string]*job
	// active holds the minions that run a work item, and doubled the work items that have run on two at the same time.
	active  map[string]map[*minion]bool
	doubled map[string]bool
	// refused counts the transactions with a value that is too large.
	refused   int
	refusedAt time.Time
	// list holds the jobs in the order of their submission.
	list []*job
}

// process is a program of the project that the system runs.
type process struct {
	name  string
	args  []string
	front string
	ready string
	cmd   *exec.Cmd
	gone  chan struct{}
	ended time.Time
}

func (s *system) record(format string, args ...any) {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	fmt.Fprintf(s.log, "%8.3f  %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, args...))
}

// nextPort is the next port to try. The ports are below those of outgoing connections, which could take a port before its process starts.
var nextPort = 12000 + rand.IntN(16000)

// freeAddress returns a loopback address with a port that nobody uses.
func freeAddress() string {
	for {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}

// newSystem starts the deployment: three desks and the number of agents in three zones, three minions a rack.
// With slow, each desk reaches the store over a link of its own with 10 Mbit/s.
func newSystem(recordFile, program, dir string, agents int, slow bool) (*system, error) {
	log, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, log: log, begun: time.Now(), jobs: map[string]*job{}, active: map[string]map[*minion]bool{}, doubled: map[string]bool{}}
	s.client = &http.Client{Timeout: deadlineMs * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.stores = l.Addr().String()
	go func() { _ = http.Serve(l, &limitedStore{sys: s}) }()
	s.store.Put("op/config", desiredState())
	zones := []string{"lausanne", "chur", "fribourg"}
	regions := map[string]string{"lausanne": "ch-west", "fribourg": "ch-west", "chur": "ch-east"}
	for _, zone := range zones {
		p := &process{name: "edge-" + zone + "-1", front: freeAddress(), ready: freeAddress()}
		stores := s.stores
		if slow {
			if stores, err = slowLink(s.stores); err != nil {
				return nil, err
			}
		}
		p.args = []string{
			program, "desk", "--id=" + p.name, "--region=" + regions[zone], "--centre=" + zone, "--listen=" + p.front, "--ready=" + p.ready,
			"--link=" + freeAddress(), "--metrics=" + freeAddress(), "--store=" + stores, "--advice=" + freeAddress(), "--hold=10000ms", "--early=250ms",
			"--remote=3", "--keep=120s", "--share=0.4",
		}
		s.desks = append(s.desks, p)
	}
	for i := range agents {
		zone := zones[i%3]
		m := newMinion(s, fmt.Sprintf("i-%08x", rand.Uint32()), zone, fmt.Sprintf("r%d-%d", i%3+1, i/9+1))
		g := &gate{sys: s, address: freeAddress()}
		if err := g.up(m); err != nil {
			return nil, err
		}
		p := &process{name: fmt.Sprintf("side-%s-%d", zone, i/3+1)}
		m.control = freeAddress()
		p.args = []string{
			program, "runner", "--id=" + p.name, "--region=" + regions[zone], "--centre=" + zone, "--listen=" + m.control,
			"--worker=" + m.address, "--store=" + s.stores,
		}
		s.agents = append(s.agents, p)
		s.minions = append(s.minions, m)
		s.gates = append(s.gates, g)
	}
	for _, p := range append(append([]*process{}, s.desks...), s.agents...) {
		if err := s.startProcess(p); err != nil {
			return s, err
		}
	}
	for _, m := range s.minions {
		go m.beat()
	}
	return s, s.awaitReady()
}

func desiredState() []byte {
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": "r-" + q.name, "hostname": host, "prefix": q.prefix, "routeType": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": q.targetLatencyMs, "priority": q.priority, "service": serviceName, "maxAttempts": q.maxAttempts,
			"stretch": q.stretch, "public": false,
		})
	}
	value, err := json.Marshal(map[string]any{
		"version": 7, "routes": routes,
		"services": []map[string]any{{
			"name": serviceName, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "admissionCheck": false,
		}},
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "kaje80", "apiKeys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 16}}},
	})
	if err != nil {
		panic(err)
	}
	return value
}

// startProcess starts a program; its output goes to a file in the temporary folder.
func (s *system) startProcess(p *process) error {
	s.stopping.Lock()
	defer s.stopping.Unlock()
	if s.stopped {
		return fmt.Errorf("the system has been stopped")
	}
	out, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", "WAGTAILHOIST_TOKEN=internal"}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.gone = make(chan struct{})
	go func(cmd *exec.Cmd, gone chan struct{}) {
		_ = cmd.Wait()
		close(gone)
	}(p.cmd, p.gone)
	s.record("platform: started %s, process %d", p.name, p.cmd.Process.Pid)
	return nil
}

// awaitReady waits until the desks are ready and the minions' reports are acknowledged.
func (s *system) awaitReady() error {
	for limit := time.Now().Add(15 * time.Second); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, d := range s.desks {
			resp, err := s.client.Get("http://" + d.ready + "/readiness")
			if err != nil {
				ready = false
				continue
			}
			resp.Body.Close()
			ready = ready && resp.StatusCode == http.StatusOK
		}
		for _, m := range s.minions {
			m.mu.Lock()
			ready = ready && m.acked
			m.mu.Unlock()
		}
		if ready {
			s.record("platform: all desks are ready, all minions are acknowledged")
			return nil
		}
	}
	return fmt.Errorf("the system isn't ready after 15 s")
}

// stop ends all processes.
func (s *system) stop() {
	s.stopping.Lock()
	defer s.stopping.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	for _, p := range append(append([]*process{}, s.desks...), s.agents...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			<-p.gone
		}
	}
	_ = s.log.Close()
}

func (s *system) noteStart(task string, m *minion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active[task] == nil {
		s.active[task] = map[*minion]bool{}
	}
	s.active[task][m] = true
	if j := s.jobs[strings.SplitN(task, ".", 2)[0]]; j != nil {
		j.starts++
	}
}

func (s *system) noteGone(task string, m *minion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active[task], m)
}

func (s *system) noteEnd(task string, m *minion, how string) {
	s.noteGone(task, m)
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[strings.SplitN(task, ".", 2)[0]]; j != nil && how == "done" {
		j.done++
	}
}

// submit hands a job in, with up to four repetitions at other desks, as consumers do.
func (s *system) submit(j *job) {
	j.id = fmt.Sprintf("%016x", rand.Uint64())
	j.work.CPU, j.work.Mem, j.work.GPU = j.step.CPU, j.step.Mem, j.step.GPU
	spec, _ := json.Marshal(j.work)
	body, _ := json.Marshal(map[string]any{"spec": string(spec) + strings.Repeat(" ", j.pad), "steps": []step{j.step}})
	j.submitted = time.Now()
	s.mu.Lock()
	s.jobs[j.id] = j
	s.list = append(s.list, j)
	s.mu.Unlock()
	for try := range 5 {
		desk := s.desks[rand.IntN(len(s.desks))]
		status := s.call(http.MethodPost, desk, j, body, nil)
		s.record("consumer: POST %s%s at %s: %d, body %.300s", j.queue.prefix, j.id, desk.name, status, body)
		if status/100 == 2 {
			s.mu.Lock()
			j.accepted = true
			s.mu.Unlock()
			return
		}
		if status == http.StatusBadRequest || status == http.StatusNotFound {
			return
		}
		time.Sleep(time.Duration(500*(try+1)) * time.Millisecond)
	}
}

// call sends a request of a consumer and returns the status, 0 without an answer.
func (s *system) call(method string, desk *process, j *job, body []byte, answer any) int {
	req, err := http.NewRequest(method, "http://"+desk.front+j.queue.prefix+j.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("X-Api-Key", apiKey)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadlineMs))
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	if answer != nil {
		_ = json.Unmarshal(data, answer)
	}
	return resp.StatusCode
}

// state returns a job's state as a desk shows it, or the status.
func (s *system) state(j *job) string {
	var answer struct {
		State string `json:"state"`
	}
	for range 3 {
		desk := s.desks[rand.IntN(len(s.desks))]
		if status := s.call(http.MethodGet, desk, j, nil, &answer); status == http.StatusOK {
			return answer.State
		} else if status != 0 && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
			return fmt.Sprint(status)
		}
	}
	return "no answer"
}

// ordinary returns a job of a queue like those of the deployment: tasks of 60 to 140 percent of the mean duration.
func ordinary(q *queue) *job {
	millis := q.meanWorkMillis * int64(60+rand.IntN(81)) / 100
	return &job{queue: q, work: work{Millis: millis}, step: step{
		Count: q.minTasks + rand.IntN(q.maxTask-q.minTasks+1), CPU: q.taskCPU, Mem: q.taskMem, GPU: 1, Estimate: millis * int64(80+rand.IntN(41)) / 100,
	}}
}

// sample judges the jobs at a time. With judge, it follows the rule LOST: for 3 s, a job has nothing running while a work item's turn has
// come, there is capacity for it twice over, and under half of the service's capacity is in use. The samples lie within the idle time, so that
// it is measured too short rather than too long.
func (s *system) sample(now time.Time, judge bool) {
	running := map[string]int{}
	type free struct{ cpu, mem, gpu int64 }
	var rooms []free
	var racks []string
	var cpu, mem, gpu int64
	for _, m := range s.minions {
		c, e, g := m.usage(now, running)
		racks = append(racks, m.rack)
		rooms = append(rooms, free{minionCPU - c, minionMem - e, minionGPU - g})
		cpu, mem, gpu = cpu+c, mem+e, gpu+g
	}
	n := int64(len(s.minions))
	underHalf := 2*cpu < n*minionCPU && 2*mem < n*minionMem && 2*gpu < n*minionGPU
	s.mu.Lock()
	defer s.mu.Unlock()
	for task, on := range s.active {
		if len(on) > 1 && !s.doubled[task] {
			s.doubled[task] = true
			var names []string
			for m := range on {
				names = append(names, fmt.Sprintf("%s of %d", m.id, m.born))
			}
			s.record("judge: work item %s runs on %s at the same time", task, strings.Join(names, " and "))
		}
	}
	for _, j := range s.list {
		places := int64(0)
		for i, r := range rooms {
			if label := j.step.RequiredLabel; label != "" && label != racks[i] {
				continue
			}
			fit := int64(100)
			if j.step.CPU > 0 {
				fit = min(fit, r.cpu/j.step.CPU)
			}
			if j.step.Mem > 0 {
				fit = min(fit, r.mem/j.step.Mem)
			}
			if j.step.GPU > 0 {
				fit = min(fit, r.gpu/j.step.GPU)
			}
			places += max(0, fit)
		}
		idle := judge && j.accepted && !j.hopeless && j.done < j.step.Count && running[j.id] == 0 && places >= 2 && underHalf
		if !idle {
			j.idleSince = time.Time{}
			continue
		}
		if j.idleSince.IsZero() {
			j.idleSince = now
		}
		j.longest = max(j.longest, now.Sub(j.idleSince))
		if j.longest > idleLimit && !j.idleNoted {
			j.idleNoted = true
			s.record("judge: job %s of %s has had nothing running for 3 s: %d of %d work items done, %d starts, room for %d more; in use: %d of %d GPUs, %d of %d cores",
				j.id, j.queue.name, j.done, j.step.Count, j.starts, places, gpu, n*minionGPU, cpu/1000, n*minionCPU/1000)
		}
	}
}

// watch samples for a time.
func (s *system) watch(d time.Duration, judge bool) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.sample(time.Now(), judge)
	}
}

// verdict records how the jobs ended, and returns the number of jobs that broke the rule.
func (s *system) verdict() int {
	broken := 0
	for _, j := range s.list {
		state := s.state(j)
		s.mu.Lock()
		s.record("end: job %s of %s: accepted %v, state %s, %d of %d work items done, %d starts, longest idle time at the end %.2f s",
			j.id, j.queue.name, j.accepted, state, j.done, j.step.Count, j.starts, j.longest.Seconds())
		if j.longest > idleLimit {
			broken++
		}
		s.mu.Unlock()
	}
	return broken
}
