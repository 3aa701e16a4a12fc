package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wagtailhoist/platform/fakes"
)

// setUpError reports that a case couldn't run.
type setUpError string

func fail(format string, args ...any) { panic(setUpError(fmt.Sprintf(format, args...))) }

// Bounds and settings as in the site files of small installations.
const (
	heartbeat = 1500 * time.Millisecond
	host      = "jobs.example"
	prefix    = "/q/"
	deadline  = 3 * time.Second
)

// site is a small installation: a store, entries, and agents with a minion each.
type site struct {
	program string
	dir     string
	trouble bool
	begun   time.Time

	recordMu sync.Mutex
	recordTo io.Writer

	store    *fakes.Store
	gangs    *gangs
	desks    []*process
	machines []*machine
	closers  []func()
	closing  sync.Once
	client   *http.Client
}

// process is a process of the project's program.
type process struct {
	name   string
	cmd    *exec.Cmd
	listen string
	link   string
}

// machine is a side machine: an agent process and the minion beside it, with paths to the store and to the entries that can be cut.
type machine struct {
	site    *site
	index   int
	agent   *process
	control string
	cut     atomic.Bool

	// held keeps the status reports of the minion on their way, in their order.
	held atomic.Bool

	mu     sync.Mutex
	minion *minion
	// lives holds the earlier lives of the minion.
	lives []*minion
}

func newSite(program string, record io.Writer) *site {
	s := &site{program: program, begun: time.Now(), recordTo: record, store: &fakes.Store{}}
	s.client = &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fail("%v", err)
	}
	s.dir = dir
	return s
}

// record writes a line with the time since the start.
func (s *site) record(format string, args ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	fmt.Fprintf(s.recordTo, "%8.3f %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the folder of the site.
func (s *site) close() { s.closing.Do(s.closeOnce) }

func (s *site) closeOnce() {
	for _, p := range s.processes() {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	}
	for _, c := range s.closers {
		c()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

func (s *site) processes() []*process {
	all := append([]*process(nil), s.desks...)
	for _, m := range s.machines {
		all = append(all, m.agent)
	}
	return all
}

// listen opens a loopback listener on a free port.
func (s *site) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	return l
}

// freeAddress returns a loopback address whose port is free. Its port has five digits.
func (s *site) freeAddress() string {
	for {
		l := s.listen()
		address := l.Addr().String()
		l.Close()
		if _, port, _ := net.SplitHostPort(address); len(port) == 5 {
			return address
		}
	}
}

// serve serves a handler on a new loopback listener until the site is closed, and returns its address.
func (s *site) serve(h http.Handler) string {
	l := s.listen()
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	return l.Addr().String()
}

// start starts a process with the arguments of the deploy file, in the environment of the deploy file.
func (s *site) start(p *process, args ...string) {
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fail("%v", err)
	}
	p.cmd = exec.Command(s.program, args...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "WAGTAILHOIST_TOKEN=internal"}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		fail("starting %s: %v", p.name, err)
	}
	log.Close()
	s.record("process %s started, pid %d", p.name, p.cmd.Process.Pid)
}

// tenants returns the tenants of the desired state. The API key of a tenant is its name after "key-".
func tenants() string {
	var list []string
	for _, name := range []string{"a", "b", "c", "d"} {
		list = append(list, `{"name":"`+name+`","apiKeys":["key-`+name+`"],"guaranteed":{"gpu":0}}`)
	}
	return strings.Join(list, ",")
}

// open starts an installation with the given number of entries and side machines.
func (s *site) open(desks, sides int, hold time.Duration, minionOf func(i int) *minion) {
	s.store.Put("op/config", []byte(`{"version":1,"routes":[{"name":"q","hostname":"`+host+`","prefix":"`+prefix+`","service":"svc",`+
		`"priority":1,"maxAttempts":3,"stretch":3,"targetLatencyMs":1000}],"services":[{"name":"svc"}],`+
		`"limits":{"maxBodyBytes":262144},"tenants":[`+tenants()+`]}`))
	deskStore := s.serve(s.store)
	for i := range desks {
		p := &process{name: fmt.Sprintf("desk-%d", i+1), listen: s.freeAddress(), link: s.freeAddress()}
		ready := s.freeAddress()
		s.desks = append(s.desks, p)
		s.start(p, "desk", "--id="+p.name, "--region=r", "--centre=z", "--listen="+p.listen, "--ready="+ready, "--link="+p.link,
			"--metrics="+s.freeAddress(), "--store="+deskStore, "--advice=", "--hold="+strconv.FormatInt(hold.Milliseconds(), 10)+"ms",
			"--early=250ms", "--remote=3", "--keep=120s", "--share=0.4")
	}
	for i := range sides {
		m := &machine{site: s, index: i, control: s.freeAddress()}
		m.agent = &process{name: fmt.Sprintf("side-%d", i+1)}
		m.minion = minionOf(i)
		s.machines = append(s.machines, m)
		app := s.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.current().ServeHTTP(w, r) }))
		m.minion.address = app
		m.startAgent(s.serve(m.storePath()), app)
		go m.sendReports()
	}
}

// startAgent starts the agent of a side machine.
func (m *machine) startAgent(store, app string) {
	m.site.start(m.agent, "runner", "--id="+m.agent.name, "--region=r", "--centre=z", "--listen="+m.control, "--worker="+app, "--store="+store)
}

// current returns the present life of the minion.
func (m *machine) current() *minion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.minion
}

// replace ends the present life of the minion and starts another one after a pause.
func (m *machine) replace(next *minion, pause time.Duration) {
	old := m.current()
	old.crash()
	next.address = old.address
	time.Sleep(pause)
	next.begin()
	m.mu.Lock()
	m.lives = append(m.lives, old)
	m.minion = next
	m.mu.Unlock()
	m.site.record("minion %s starts on %s, born %d", next.id, m.agent.name, next.born)
}

// allLives returns all lives of the minion.
func (m *machine) allLives() []*minion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append(append([]*minion(nil), m.lives...), m.minion)
}

// sendReports sends the minion's status reports.
func (m *machine) sendReports() {
	for {
		m.report()
		time.Sleep(heartbeat)
	}
}

// sendLeave sends the notice that a minion leaves.
func (m *machine) sendLeave(id string) {
	req, err := http.NewRequest(http.MethodDelete, "http://"+m.control+"/instances/"+id, nil)
	if err != nil {
		fail("%v", err)
	}
	if resp, err := m.site.client.Do(req); err == nil {
		resp.Body.Close()
		m.site.record("notice that minion %s leaves: %d", id, resp.StatusCode)
	}
}

// report sends one status report. A report without an acknowledgement within a second is repeated at the next beat.
func (m *machine) report() {
	n := m.current()
	if n.isDown() || m.held.Load() {
		return
	}
	n.awaitWake()
	m.sendReport(n.id, n.reportBody())
}

// sendReport sends the body of a status report to the agent and returns the status of its answer, 0 without one.
func (m *machine) sendReport(id string, body []byte) int {
	req, err := http.NewRequest(http.MethodPut, "http://"+m.control+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		fail("%v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// storePath is the machine's path to the store. While the machine is cut off, calls get no answer. The entries' addresses in the answers
// are those of the machine's paths to them.
func (m *machine) storePath() http.Handler {
	links := map[string]string{}
	for _, d := range m.site.desks {
		links[d.link] = m.linkPath(d.link)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.cut.Load() {
			m.hang(r)
			return
		}
		answer := &bufferedAnswer{header: http.Header{}, status: http.StatusOK}
		m.site.store.ServeHTTP(answer, r)
		if m.cut.Load() {
			m.hang(r)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(answer.status)
		_, _ = w.Write(translate(answer.body.Bytes(), links))
	})
}

// hang leaves a call without an answer until the caller gives up.
func (m *machine) hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// bufferedAnswer keeps an answer of the store.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *bufferedAnswer) Header() http.Header         { return a.header }
func (a *bufferedAnswer) WriteHeader(status int)      { a.status = status }
func (a *bufferedAnswer) Write(b []byte) (int, error) { return a.body.Write(b) }

// translate replaces addresses in the values of the items of an answer. All addresses have the same length.
func translate(body []byte, links map[string]string) []byte {
	var answer map[string]any
	if json.Unmarshal(body, &answer) != nil {
		return body
	}
	fix := func(item any) {
		fields, ok := item.(map[string]any)
		if !ok {
			return
		}
		text, ok := fields["value"].(string)
		if !ok {
			return
		}
		value, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return
		}
		for from, to := range links {
			value = bytes.ReplaceAll(value, []byte(from), []byte(to))
		}
		fields["value"] = base64.StdEncoding.EncodeToString(value)
	}
	fix(answer)
	for _, list := range []string{"items", "events"} {
		items, _ := answer[list].([]any)
		for _, item := range items {
			fix(item)
		}
	}
	fixed, err := json.Marshal(answer)
	if err != nil {
		return body
	}
	return fixed
}

// linkPath is a proxy to the link address of an entry, which passes nothing on while the machine is cut off.
func (m *machine) linkPath(target string) string {
	var l net.Listener
	for {
		l = m.site.listen()
		if len(l.Addr().String()) == len(target) {
			break
		}
		l.Close()
	}
	m.site.closers = append(m.site.closers, func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.pass(c, target)
		}
	}()
	return l.Addr().String()
}

// pass copies the bytes of a connection in both directions.
func (m *machine) pass(c net.Conn, target string) {
	defer c.Close()
	m.awaitPath()
	d, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer d.Close()
	done := make(chan struct{}, 2)
	copyBytes := func(to, from net.Conn) {
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				m.awaitPath()
				if _, werr := to.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				m.awaitPath()
				break
			}
		}
		done <- struct{}{}
	}
	go copyBytes(d, c)
	go copyBytes(c, d)
	<-done
}

// awaitPath waits while the machine is cut off.
func (m *machine) awaitPath() {
	for m.cut.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

// setCut cuts the machine off from the store and the entries, or heals the cut.
func (m *machine) setCut(cut bool) {
	m.cut.Store(cut)
	m.site.record("machine %s cut off: %v", m.agent.name, cut)
}

// suspend suspends the machine: the agent process stands still, and so does the minion with its steady clock.
func (m *machine) suspend() {
	_ = m.agent.cmd.Process.Signal(syscall.SIGSTOP)
	m.current().suspend()
	m.site.record("machine %s suspended", m.agent.name)
}

// resume ends the suspension.
func (m *machine) resume() {
	m.current().resume()
	_ = m.agent.cmd.Process.Signal(syscall.SIGCONT)
	m.site.record("machine %s resumed", m.agent.name)
}

// call sends a request of a tenant's consumer to an entry, with retries at the others after no answer, 502, 503, 504 or 429.
func (s *site) call(tenant, method, path, body string) (int, string) {
	for try := range 40 {
		d := s.desks[try%len(s.desks)]
		req, err := http.NewRequest(method, "http://"+d.listen+path, bytes.NewReader([]byte(body)))
		if err != nil {
			fail("%v", err)
		}
		req.Host = host
		req.Header.Set("X-Api-Key", "key-"+tenant)
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
		req.Header.Set("Content-Type", "application/json")
		resp, err := s.client.Do(req)
		if err != nil {
			s.record("consumer of %s: %s %s at %s: no answer", tenant, method, path, d.name)
			time.Sleep(250 * time.Millisecond)
			continue
		}
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		s.record("consumer of %s: %s %s at %s: %d %s", tenant, method, path, d.name, resp.StatusCode, bytes.TrimSpace(data))
		switch resp.StatusCode {
		case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			time.Sleep(500 * time.Millisecond)
			continue
		}
		return resp.StatusCode, string(data)
	}
	return 0, ""
}

// submit hands a job of tenant a in and fails unless it is accepted.
func (s *site) submit(id, body string) { s.submitAs("a", id, body) }

// submitAs hands a job of a tenant in and fails unless it is accepted.
func (s *site) submitAs(tenant, id, body string) {
	s.record("consumer of %s: job %s: %s", tenant, id, body)
	if status, _ := s.call(tenant, http.MethodPost, prefix+id, body); status != http.StatusOK {
		fail("job %s not accepted: status %d", id, status)
	}
}

// state returns the state of a job of tenant a.
func (s *site) state(id string) string { return s.stateAs("a", id) }

// stateAs returns the state of a tenant's job.
func (s *site) stateAs(tenant, id string) string {
	status, body := s.call(tenant, http.MethodGet, prefix+id, "")
	if status != http.StatusOK {
		return strconv.Itoa(status)
	}
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(body), &answer)
	return answer.State
}

// warmUp runs a job of one short task for each minion at a time, which shows that all parts work, and fails if it doesn't complete.
func (s *site) warmUp() {
	s.submit("00000000000000aa", fmt.Sprintf(`{"spec":"500","steps":[{"count":%d,"cpu":64000,"memMb":256,"gpu":8,"estimateMs":500}]}`, len(s.machines)))
	for until := time.Now().Add(25 * time.Second); ; {
		if s.state("00000000000000aa") == "completed" {
			return
		}
		if time.Now().After(until) {
			fail("the first job isn't completed after 25 s")
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// awaitReady waits until an entry is ready and all minions have been listed, which shows in an answer to a look at a queue.
func (s *site) awaitReady() {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if status, _ := s.call("c", http.MethodGet, prefix, ""); status == http.StatusOK {
			time.Sleep(2 * time.Second)
			return
		}
	}
	fail("no entry is ready after 15 s")
}
