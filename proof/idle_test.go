package proof

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// idleCaller sends requests on one connection, with random pauses, until the entry closes it. It returns "closed" if
// the connection was closed before a request was sent, "broken" if a request got no complete answer, and otherwise
// the outcome of the last request.
func idleCaller(address string, n int) (string, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for i := 0; ; i++ {
		// The longest pause exceeds the time that a stopping entry waits for the load balancer to notice.
		_ = c.SetReadDeadline(time.Now().Add(rand.N(2500 * time.Millisecond)))
		if _, err := r.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return "closed", nil // data or the end of the connection before the request was sent
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := fmt.Fprintf(c, "POST /idle-%d-%d HTTP/1.1\r\nHost: entry\r\nContent-Length: 0\r\n\r\n", n, i); err != nil {
			return "broken", err
		}
		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err != nil {
			return "broken", err
		}
		if outcome := resp.Header.Get("Wagtailhoist-Outcome"); outcome != "answered" || resp.Close {
			return outcome, nil
		}
	}
}

// A stopping entry closes idle keep-alive connections. A request that is on its way at that moment must still get an
// outcome. The relay's delay makes many requests overlap the close.
func TestStoppingEntryTellsIdleCallers(t *testing.T) {
	const number = 300
	limitFleets(t)
	f := newFleet(t, 1, 2)
	relay := start(t, "stand", "relay", "--target", f.entries[0].addr("listen"), "--delay", "150ms")
	got := map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for n := range number {
		wait.Go(func() {
			outcome, err := idleCaller(relay.addr("listen"), n)
			mu.Lock()
			defer mu.Unlock()
			if got[outcome]++; err != nil {
				t.Errorf("caller %d: %s: %v", n, outcome, err)
			}
		})
	}
	time.Sleep(2 * time.Second)
	f.entries[0].signal(syscall.SIGTERM)
	wait.Wait()
	f.entries[0].stop()
	t.Logf("how %d connections ended: %v", number, got)
	if got["closed"] == 0 || got["not-run"] == 0 {
		t.Errorf("ends: got %v, want idle connections that were closed and requests that were on their way at the close", got)
	}
}
