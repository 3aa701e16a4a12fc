package relay

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wagtailhoist/stand/fault"
)

// silence is how long a connection has to stay without an answer to count as silent.
const silence = 300 * time.Millisecond

// newEcho starts a server that sends back what it receives, and a relay to it.
func newEcho(t *testing.T) *Relay {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := New(l, server.Addr().String(), 0, 0)
	go r.Serve()
	t.Cleanup(func() {
		r.Close()
		_ = server.Close()
		goleak.VerifyNone(t)
	})
	return r
}

func (r *Relay) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.gate.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// answers sends text and reports whether it comes back within the time.
func answers(t *testing.T, conn net.Conn, text string, within time.Duration) bool {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(within))
	got := make([]byte, len(text))
	_, err := io.ReadFull(conn, got)
	return err == nil && string(got) == text
}

// Guards against tests that believe in a fault that the relay does not make: each mode has to show on
// connections opened before and after it as documented.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name       string
		fault      fault.Fault
		open, next bool
	}{
		{"silent for the open connections", fault.Fault{Mode: fault.Silent, Count: 1}, false, true},
		{"silent for all", fault.Fault{Mode: fault.Silent}, false, false},
		{"drop", fault.Fault{Mode: fault.Drop}, false, true},
		{"answers lost", fault.Fault{Mode: fault.Lost}, false, false},
		{"hold", fault.Fault{Mode: fault.Hold}, false, false},
		{"slow", fault.Fault{Mode: fault.Slow, Delay: 20}, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newEcho(t)
			conn := r.dial(t)
			if !answers(t, conn, "before", 10*time.Second) {
				t.Fatal("no answer before the fault")
			}
			r.faults.Add(tc.fault)
			wait := func(want bool) time.Duration {
				if want {
					return 10 * time.Second
				}
				return silence
			}
			if got := answers(t, conn, "open", wait(tc.open)); got != tc.open {
				t.Errorf("open connection: got answer %v, want %v", got, tc.open)
			}
			if got := answers(t, r.dial(t), "next", wait(tc.next)); got != tc.next {
				t.Errorf("next connection: got answer %v, want %v", got, tc.next)
			}
			r.faults.Add(fault.Fault{Mode: fault.Clear})
			if !answers(t, r.dial(t), "after", 10*time.Second) {
				t.Error("no answer after the fault was cleared")
			}
		})
	}
}

// Guards against a partition that loses bytes: what was sent while the relay held has to arrive afterwards.
func TestHoldLosesNothing(t *testing.T) {
	r := newEcho(t)
	conn := r.dial(t)
	r.faults.Add(fault.Fault{Mode: fault.Hold})
	if answers(t, conn, "held", silence) {
		t.Fatal("answer through a relay that holds")
	}
	r.faults.Add(fault.Fault{Mode: fault.Clear})
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	got := make([]byte, 4)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "held" {
		t.Errorf("after the hold: got %q, %v, want held", got, err)
	}
}

// Guards against a dial that succeeds at a relay that refuses, and a limit that does not hold back.
func TestRefuseAndLimit(t *testing.T) {
	r := newEcho(t)
	r.faults.Add(fault.Fault{Mode: fault.Refuse})
	if conn, err := net.Dial("tcp", r.gate.Addr().String()); err == nil {
		_ = conn.Close()
		t.Error("dialling a relay that refuses succeeded")
	}
	r.faults.Add(fault.Fault{Mode: fault.Clear})
	r.faults.Add(fault.Fault{Mode: fault.Limit, Rate: 100 << 10})
	conn, begin := r.dial(t), time.Now()
	data := bytes.Repeat([]byte("x"), 50<<10)
	if !answers(t, conn, string(data), 30*time.Second) {
		t.Fatal("no answer through the limit")
	}
	if took := time.Since(begin); took < 450*time.Millisecond {
		t.Errorf("50 KiB at 100 KiB/s took %v, want about 500 ms or more", took)
	}
}
