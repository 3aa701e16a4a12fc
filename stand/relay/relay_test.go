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

// noAnswerWait is the time without an answer after which a connection counts as silent.
const noAnswerWait = 300 * time.Millisecond

// newEchoRelay starts a server that echoes the bytes that it receives, and a relay to it.
func newEchoRelay(t *testing.T) *Relay {
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
	conn, err := net.Dial("tcp", r.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// isEchoed sends text and reports whether it is echoed within the given time.
func isEchoed(t *testing.T, conn net.Conn, text string, within time.Duration) bool {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(within))
	got := make([]byte, len(text))
	_, err := io.ReadFull(conn, got)
	return err == nil && string(got) == text
}

// Other tests rely on the faults of the relay: each mode must affect connections opened before and after it as documented.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name       string
		fault      fault.Fault
		open, next bool
	}{
		{"silent for the open connections", fault.Fault{Mode: fault.Silent, Count: 1}, false, true},
		{"silent for all", fault.Fault{Mode: fault.Silent}, false, false},
		{"drop", fault.Fault{Mode: fault.Drop}, false, true},
		{"answers lost", fault.Fault{Mode: fault.LoseAnswer}, false, false},
		{"hold", fault.Fault{Mode: fault.Hold}, false, false},
		{"slow", fault.Fault{Mode: fault.Slow, Delay: 20}, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newEchoRelay(t)
			conn := r.dial(t)
			if !isEchoed(t, conn, "before", 10*time.Second) {
				t.Fatal("no answer before the fault")
			}
			r.faults.Add(tc.fault)
			answerWait := func(want bool) time.Duration {
				if want {
					return 10 * time.Second
				}
				return noAnswerWait
			}
			if got := isEchoed(t, conn, "open", answerWait(tc.open)); got != tc.open {
				t.Errorf("open connection: got answer %v, want %v", got, tc.open)
			}
			if got := isEchoed(t, r.dial(t), "next", answerWait(tc.next)); got != tc.next {
				t.Errorf("next connection: got answer %v, want %v", got, tc.next)
			}
			r.faults.Add(fault.Fault{Mode: fault.Clear})
			if !isEchoed(t, r.dial(t), "after", 10*time.Second) {
				t.Error("no answer after the fault was cleared")
			}
		})
	}
}

// Bytes sent while the relay holds traffic back must arrive once the fault is cleared.
func TestHoldLosesNothing(t *testing.T) {
	r := newEchoRelay(t)
	conn := r.dial(t)
	r.faults.Add(fault.Fault{Mode: fault.Hold})
	if isEchoed(t, conn, "held", noAnswerWait) {
		t.Fatal("got an answer while the relay holds traffic back")
	}
	r.faults.Add(fault.Fault{Mode: fault.Clear})
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	got := make([]byte, 4)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "held" {
		t.Errorf("after the hold: got %q, %v, want held", got, err)
	}
}

// A relay with the fault refuse must refuse connections, and the fault limit must bound the throughput.
func TestRefuseAndLimit(t *testing.T) {
	r := newEchoRelay(t)
	r.faults.Add(fault.Fault{Mode: fault.Refuse})
	if conn, err := net.Dial("tcp", r.listener.Addr().String()); err == nil {
		_ = conn.Close()
		t.Error("dialling a relay that refuses succeeded")
	}
	r.faults.Add(fault.Fault{Mode: fault.Clear})
	r.faults.Add(fault.Fault{Mode: fault.Limit, Rate: 100 << 10})
	conn, begin := r.dial(t), time.Now()
	data := bytes.Repeat([]byte("x"), 50<<10)
	if !isEchoed(t, conn, string(data), 30*time.Second) {
		t.Fatal("no answer through the limit")
	}
	if took := time.Since(begin); took < 450*time.Millisecond {
		t.Errorf("50 KiB at 100 KiB/s took %v, want about 500 ms or more", took)
	}
}
