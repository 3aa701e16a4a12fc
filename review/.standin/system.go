package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	apiKey  = "key-of-plans"
	host    = "jobs.example"
	service = "dispatch"
	// clientDeadline is the time limit of a call, as on the site's sheet.
	clientDeadline = 3 * time.Second
)

// zones are those of the site, with their regions.
var zones = []struct{ name, region string }{{"lausanne", "ch-west"}, {"chur", "ch-east"}, {"fribourg", "ch-west"}}

// process is a program of the project that the case started.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

func (p *process) start() error {
	cmd := exec.Command("target/wagtailhoist", p.args...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "WAGTAILHOIST_TOKEN=internal"}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.cmd, p.done = cmd, done
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// System is an installation: a store, minions with a runner each, and three desks.
type System struct {
	Store   *Store
	Ledger  *Ledger
	Minions []*Minion
	Desks   []*process
	Runners []*process
	// fronts are the addresses at which the desks take clients' calls.
	fronts []string
	dir    string
}

// loopback is a loopback address of this run's own, so that runs side by side don't take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/250%250, 1+os.Getpid()%250)

var usedAddresses = map[string]bool{}

// freeAddress returns an address with a free port that it has not returned before.
func freeAddress() string {
	for {
		l, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			panic(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if !usedAddresses[address] {
			usedAddresses[address] = true
			return address
		}
	}
}

// desired is the desired state: one queue of each priority, and one tenant.
func desired() []byte {
	type object = map[string]any
	var routes []object
	for priority, name := range []string{"urgent", "plan", "price"} {
		routes = append(routes, object{
			"name": name, "hostname": host, "prefix": "/" + name + "/", "service": service, "priority": priority, "maxAttempts": 3,
			"stretch": 3.0, "targetLatencyMs": 1200,
		})
	}
	body, _ := json.Marshal(object{
		"version": 3, "routes": routes, "services": []object{{"name": service, "admissionCheck": false, "healthPath": "/health"}},
		"limits":  object{"maxBodyBytes": 262144},
		"tenants": []object{{"name": "plans", "apiKeys": []string{apiKey}, "guaranteed": object{"gpu": 4}}},
	})
	return body
}

// NewSystem starts an installation with a minion in each of the racks, and waits until it takes jobs.
func NewSystem(ledger *Ledger, racks []string) (*System, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &System{Store: NewStore(), Ledger: ledger, dir: dir}
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return s, err
	}
	go func() { _ = (&http.Server{Handler: s.Store}).Serve(l) }()
	store := l.Addr().String()
	s.Store.Put("op/config", desired())
	for _, zone := range zones {
		name := "edge-" + zone.name + "-1"
		front, ready := freeAddress(), freeAddress()
		s.fronts = append(s.fronts, front)
		s.Desks = append(s.Desks, &process{name: name, args: []string{
			"desk", "--id=" + name, "--region=" + zone.region, "--centre=" + zone.name, "--listen=" + front, "--ready=" + ready,
			"--link=" + freeAddress(), "--metrics=" + freeAddress(), "--store=" + store, "--advice=" + freeAddress(), "--hold=10000ms",
			"--early=250ms", "--remote=3", "--keep=120s", "--share=0.4",
		}})
	}
	for i, rack := range racks {
		zone := zones[i%len(zones)]
		name := fmt.Sprintf("side-%s-%d", zone.name, i/len(zones)+1)
		m := &Minion{
			ID: fmt.Sprintf("i-%010x", 0x7f3a91c200+i), Rack: rack, Service: service, Zone: zone.name, CPU: 128000, Memory: 262144, GPU: 8,
			Address: freeAddress(), Control: freeAddress(), Ledger: ledger,
		}
		s.Minions = append(s.Minions, m)
		s.Runners = append(s.Runners, &process{name: name, args: []string{
			"runner", "--id=" + name, "--region=" + zone.region, "--centre=" + zone.name, "--listen=" + m.Control, "--worker=" + m.Address,
			"--store=" + store,
		}})
	}
	for _, p := range append(append([]*process{}, s.Desks...), s.Runners...) {
		if p.log, err = os.Create(filepath.Join(dir, p.name+".log")); err != nil {
			return s, err
		}
		if err := p.start(); err != nil {
			return s, err
		}
	}
	for _, m := range s.Minions {
		if err := m.Start(); err != nil {
			return s, err
		}
	}
	return s, s.warmUp()
}

// warmUp waits until each desk accepts and completes a job.
func (s *System) warmUp() error {
	deadline := time.Now().Add(20 * time.Second)
	for i := range s.fronts {
		id := fmt.Sprintf("%016x", 0xffff0000+i)
		body := jobBody("50ms", step{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 50})
		for s.Call(http.MethodPost, i, "/price/"+id, body).status != http.StatusOK {
			if time.Now().After(deadline) {
				return fmt.Errorf("desk %d doesn't accept jobs", i)
			}
			time.Sleep(100 * time.Millisecond)
		}
		for s.State(i, "price", id) != "completed" {
			if time.Now().After(deadline) {
				return fmt.Errorf("a job of desk %d isn't completed", i)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.Ledger.Note("the system serves")
	return nil
}

// Close ends all processes. With the variable KEEP, it keeps their logs and says where they are.
func (s *System) Close() {
	for _, p := range append(append([]*process{}, s.Runners...), s.Desks...) {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

type step = map[string]any

func jobBody(spec string, steps ...step) string {
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	return string(body)
}

type answer struct {
	status int
	body   string
}

// Call sends a client's call to a desk and returns the answer; status 0 means none.
func (s *System) Call(method string, desk int, path, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.fronts[desk]+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{}
	}
	req.Host = host
	req.Header.Set("X-Api-Key", apiKey)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{resp.StatusCode, string(data)}
}

// Submit hands a job in, at one desk after the other until it has a final answer, and reports whether it was accepted.
func (s *System) Submit(desk int, queue, id, body string) bool {
	for attempt := range 5 {
		a := s.Call(http.MethodPost, (desk+attempt)%len(s.fronts), "/"+queue+"/"+id, body)
		s.Ledger.Note("POST /%s/%s (%d bytes) at desk %d: %d", queue, id, len(body), (desk+attempt)%len(s.fronts), a.status)
		if a.status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// State returns the state that a desk gives for a job, or the status of its answer.
func (s *System) State(desk int, queue, id string) string {
	a := s.Call(http.MethodGet, desk, "/"+queue+"/"+id, "")
	var body struct {
		State string `json:"state"`
	}
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &body) != nil {
		return fmt.Sprintf("status %d", a.status)
	}
	return body.State
}

// Pending returns the number of pending jobs that a desk gives for a queue, or -1 without an answer.
func (s *System) Pending(desk int, queue string) int {
	a := s.Call(http.MethodGet, desk, "/"+queue+"/", "")
	body := struct{ Pending int }{-1}
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &body) != nil {
		return -1
	}
	return body.Pending
}

// Leader returns the index of the desk that was elected last, by the logs.
func (s *System) Leader() int {
	best, last := -1, ""
	for i, p := range s.Desks {
		data, err := os.ReadFile(p.log.Name())
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			var entry struct{ Time, Msg string }
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "elected" && entry.Time > last {
				best, last = i, entry.Time
			}
		}
	}
	return best
}
