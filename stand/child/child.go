package child

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"wagtailhoist/stand/serve"
)

// RunMain builds the command wagtailhoist, stores the path of the executable in binary, runs the tests of m and returns
// the exit code.
func RunMain(m *testing.M, binary *string) int {
	dir, err := os.MkdirTemp("", "child")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	*binary = filepath.Join(dir, "wagtailhoist")
	out, err := exec.Command("go", "build", "-o", *binary, "wagtailhoist").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "building the executable: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// ReserveAddress returns a loopback address whose port is reserved until the test ends.
func ReserveAddress(t testing.TB) string {
	t.Helper()
	addr, release, err := serve.ReserveAddress("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return addr
}

// Process is a process of a test, which can be started several times.
type Process struct {
	// Name is the name of the process in messages.
	Name string
	// Binary is the path of the executable.
	Binary string
	Args   []string
	// Env has variables that are added to the environment of the test.
	Env []string
	// Log receives both outputs of the process.
	Log *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Start starts the process, for the first time or again.
func (p *Process) Start(t testing.TB) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.Binary, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stdout, cmd.Stderr = p.Log, p.Log
	if err := cmd.Start(); err != nil {
		t.Fatalf("starting process %s: %v", p.Name, err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.cmd, p.done = cmd, done
}

// PID returns the number of the process that was started last.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Ended reports whether the process has exited.
func (p *Process) Ended() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
}

// Kill ends the process by SIGKILL and waits for its exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// Wait waits until the process has exited.
func (p *Process) Wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
}

// logTail is the number of bytes that Tail returns.
const logTail = 20000

// Tail returns the end of the log.
func (p *Process) Tail() string {
	data, err := os.ReadFile(p.Log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logTail):])
}
