package serve

import (
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// ReserveAddress reserves a TCP address by binding it without listening on it, and returns the address; port 0 selects a free port.
// Until release is called, the system assigns the port to no other socket. A listener, which sets SO_REUSEADDR, can still
// open it; connections are refused as long as none does.
func ReserveAddress(addr string) (held string, release func(), err error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return "", nil, fmt.Errorf("reserving a TCP address: %w", err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, fmt.Errorf("reserving TCP address %s: %w", addr, err)
	}
	release = func() { _ = syscall.Close(fd) }
	port, err := bind(fd, at)
	if err != nil {
		release()
		return "", nil, fmt.Errorf("reserving TCP address %s: %w", addr, err)
	}
	return net.JoinHostPort(at.Addr().String(), fmt.Sprint(port)), release, nil
}

// bind binds a socket to an IPv4 address and returns its port.
func bind(fd int, at netip.AddrPort) (int, error) {
	if !at.Addr().Is4() {
		return 0, fmt.Errorf("%s is not an IPv4 address", at.Addr())
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		return 0, err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return 0, err
	}
	return name.(*syscall.SockaddrInet4).Port, nil
}
