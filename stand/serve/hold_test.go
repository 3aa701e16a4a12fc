package serve

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// A reserved port must not be assigned to another process while its owner is being replaced: with 40,000 outgoing
// connections or listeners, the system would otherwise assign it sooner or later.
func TestReservedAddressIsAssignedToNoOtherSocket(t *testing.T) {
	held, release, err := ReserveAddress("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	for range 3 {
		if _, err := net.Dial("tcp", held); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dialling a reserved address: got %v, want a refusal", err)
		}
		// A socket without SO_REUSEADDR stands for the source port of an outgoing connection.
		plain := net.Dialer{LocalAddr: tcpAddr(t, held)}
		if conn, err := plain.Dial("tcp", openListener(t, "127.0.0.1:0").Addr().String()); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("dialling from a reserved address: got %v, %v, want address in use", conn, err)
		}
		l := openListener(t, held)
		conn, err := net.Dial("tcp", held)
		if err != nil {
			t.Fatalf("dialling a listener at a reserved address: %v", err)
		}
		_ = conn.Close()
		_ = l.Close()
	}
}

// A listener must be able to open again: while it refuses connections, its port must not be assigned to another socket.
func TestRefusingListenerReservesItsPort(t *testing.T) {
	reopenable := NewReopenableListener(openListener(t, "127.0.0.1:0"), 0)
	defer reopenable.Close()
	for range 2 {
		if err := reopenable.SetRefusing(true); err != nil {
			t.Fatal(err)
		}
		if _, release, err := ReserveAddress(reopenable.Addr().String()); err != nil {
			t.Errorf("reserving the address of a refusing listener: got %v, want it available to listeners", err)
		} else {
			release()
		}
		plain := net.Dialer{LocalAddr: reopenable.Addr()}
		if conn, err := plain.Dial("tcp", openListener(t, "127.0.0.1:0").Addr().String()); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("dialling from the address of a refusing listener: got %v, %v, want address in use", conn, err)
		}
		if err := reopenable.SetRefusing(false); err != nil {
			t.Fatal(err)
		}
	}
}

func openListener(t *testing.T, addr string) net.Listener {
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
