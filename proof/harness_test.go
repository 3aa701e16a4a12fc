package proof

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wagtailhoist/stand/serve"
)

const (
	// startTimeout only bounds the wait for a process that never starts listening.
	startTimeout = 20 * time.Second
	// stopTimeout bounds a graceful shutdown, including requests that are still running.
	stopTimeout = 20 * time.Second
	// logTailLines is the number of last log lines of a process that a failed test prints.
	logTailLines = 40
)

// binDir is the directory of the built binaries.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "wagtailhoist", "wagtailhoist/stand").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "building the binaries: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// listenFlags are the flags of each command that take the address of a listener.
var listenFlags = map[string][]string{
	"entry":    {"--listen", "--link", "--admin"},
	"agent":    {"--listen"},
	"platform": {"--listen"},
	"minion":   {"--listen", "--control"},
	"relay":    {"--listen", "--control"},
	"caller":   {"--control"},
}

// freeAddress reserves a loopback address until the test ends.
func freeAddress(t testing.TB) string {
	t.Helper()
	addr, release, err := serve.ReserveAddress("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return addr
}

// withAddresses adds a reserved address for each listener that args doesn't configure. Without the reservation,
// another process could take the port before a killed process is restarted at its former address.
func withAddresses(t testing.TB, args []string) []string {
	t.Helper()
	args = slices.Clone(args)
	for _, flag := range listenFlags[args[0]] {
		if !slices.Contains(args, flag) {
			args = append(args, flag, freeAddress(t))
		}
	}
	return args
}

// process is a running binary.
type process struct {
	t     testing.TB
	name  string
	cmd   *exec.Cmd
	addrs map[string]string // listener addresses by name, from the log line "listening"
	done  chan struct{}     // closed after the process has ended
	err   error             // result of Wait, valid after done

	mu  sync.Mutex
	log []string
}

// start runs a binary and waits until it has logged its addresses. The test kills it at its end.
func start(t testing.TB, bin string, args ...string) *process {
	t.Helper()
	args = withAddresses(t, args)
	p := &process{t: t, name: bin + " " + args[0], done: make(chan struct{}), addrs: map[string]string{}}
	p.cmd = exec.Command(filepath.Join(binDir, bin), args...)
	p.cmd.Stdout = io.Discard
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("starting %s: %v", p.name, err)
	}
	listening := make(chan map[string]string, 1)
	go p.read(stderr, listening)
	t.Cleanup(p.cleanup)
	select {
	case p.addrs = <-listening:
	case <-p.done:
		t.Fatalf("%s %v ended before it listened: %v\n%s", p.name, args, p.err, p.tail())
	case <-time.After(startTimeout):
		t.Fatalf("%s %v did not listen within %v\n%s", p.name, args, startTimeout, p.tail())
	}
	return p
}

// read collects the log, sends the addresses of the line "listening", and waits for the process to exit.
func (p *process) read(stderr io.Reader, listening chan<- map[string]string) {
	scanner := bufio.NewScanner(stderr)
	scanner.Buffer(nil, 1<<20)
	found := false
	for scanner.Scan() {
		line := scanner.Text()
		p.mu.Lock()
		p.log = append(p.log, line)
		p.mu.Unlock()
		if found {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["msg"] == "listening" {
			found = true
			addrs := map[string]string{}
			for k, v := range fields {
				if s, ok := v.(string); ok {
					addrs[k] = s
				}
			}
			listening <- addrs
		}
	}
	p.err = p.cmd.Wait()
	close(p.done)
}

// cleanup kills the process if it still runs, and prints the end of its log if the test failed.
func (p *process) cleanup() {
	if p.ended() {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	if p.t.Failed() {
		p.t.Logf("log of %s %v:\n%s", p.name, p.cmd.Args[1:], p.tail())
	}
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// addr returns the address that the process logged under name.
func (p *process) addr(name string) string {
	p.t.Helper()
	a, ok := p.addrs[name]
	if !ok {
		p.t.Fatalf("%s logged no address %q: %v", p.name, name, p.addrs)
	}
	return a
}

// url returns the root URL of the address that the process logged under name.
func (p *process) url(name string) string {
	p.t.Helper()
	return "http://" + p.addr(name)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits for the exit, which simulates the loss of the process's VM.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// pause stops the process with SIGSTOP until resume is called. It returns when all threads have stopped: on a busy machine they
// run on for a while after the signal.
func (p *process) pause() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, startTimeout, p.name+" stops", func() bool { return p.ended() || p.stopped() })
}

// stopped reports whether all threads of the process are stopped by a signal.
func (p *process) stopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	for _, path := range threads {
		data, readErr := os.ReadFile(path)
		if readErr != nil || !strings.HasPrefix(string(data[bytes.LastIndexByte(data, ')')+1:]), " T ") {
			return false
		}
	}
	return err == nil && len(threads) > 0
}

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop sends SIGTERM and fails the test unless the process exits with status 0 within stopTimeout.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if p.err != nil {
			p.t.Errorf("%s: graceful shutdown: got %v, want exit status 0\n%s", p.name, p.err, p.tail())
		}
	case <-time.After(stopTimeout):
		p.t.Errorf("%s did not stop within %v\n%s", p.name, stopTimeout, p.tail())
	}
}

// lines returns the log lines that contain text.
func (p *process) lines(text string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, line := range p.log {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// tail returns the last log lines.
func (p *process) tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.log[max(0, len(p.log)-logTailLines):], "\n")
}

// ready waits until GET /ready at the address that the process logged under name answers 200.
func (p *process) ready(name string) *process {
	p.t.Helper()
	eventually(p.t, startTimeout, p.name+" is ready", func() bool {
		resp, err := http.Get(p.url(name) + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return p
}

// eventually polls ok and fails the test unless it returns true within the limit.
func eventually(t testing.TB, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			t.Fatalf("not within %v: %s", limit, what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// post sends body as JSON and returns the status and body of the answer.
func post(t testing.TB, url string, body any) (int, []byte) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		t.Fatalf("POST %s: %v", url, err)
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("POST %s: %v", url, err)
	}
	return resp.StatusCode, out
}
