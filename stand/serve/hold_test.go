package serve

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// Guards against a port that another process takes while its owner is being replaced: 40,000 outgoing
// connections or listeners would otherwise come past it sooner or later.
func TestHeldAddressIsGivenToNobodyElse(t *testing.T) {
	held, release, err := Hold("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	for range 3 {
		if _, err := net.Dial("tcp", held); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dialling a held address: got %v, want a refusal", err)
		}
		// A socket without SO_REUSEADDR stands for the source port of an outgoing connection.
		plain := net.Dialer{LocalAddr: tcpAddr(t, held)}
		if conn, err := plain.Dial("tcp", listener(t, "127.0.0.1:0").Addr().String()); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("dialling from a held address: got %v, %v, want address in use", conn, err)
		}
		l := listener(t, held)
		conn, err := net.Dial("tcp", held)
		if err != nil {
			t.Fatalf("dialling a listener at a held address: %v", err)
		}
		_ = conn.Close()
		_ = l.Close()
	}
}

// Guards against a gate that cannot open again because its port was taken while it was shut.
func TestShutGateKeepsItsPort(t *testing.T) {
	gate := NewGate(listener(t, "127.0.0.1:0"), 0)
	defer gate.Close()
	for range 2 {
		if err := gate.Shut(true); err != nil {
			t.Fatal(err)
		}
		if _, release, err := Hold(gate.Addr().String()); err != nil {
			t.Errorf("address of a shut gate: got %v, want it free for listeners", err)
		} else {
			release()
		}
		plain := net.Dialer{LocalAddr: gate.Addr()}
		if conn, err := plain.Dial("tcp", listener(t, "127.0.0.1:0").Addr().String()); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("dialling from the address of a shut gate: got %v, %v, want address in use", conn, err)
		}
		if err := gate.Shut(false); err != nil {
			t.Fatal(err)
		}
	}
}

func listener(t *testing.T, addr string) net.Listener {
	t.Helper()
	l, err := Open(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func tcpAddr(t *testing.T, addr string) net.Addr {
	t.Helper()
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return at
}
