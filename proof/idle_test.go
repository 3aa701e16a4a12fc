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

// idleCaller sends requests on one connection, with pauses between, until the entry ends it. The result is
// closed if the connection ended before a request was sent, and broken if it ended in place of an answer.
func idleCaller(address string, n int) (string, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for i := 0; ; i++ {
		// The longest pause exceeds the time that the entry gives the balancer.
		_ = c.SetReadDeadline(time.Now().Add(rand.N(2500 * time.Millisecond)))
		if _, err := r.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return "closed", nil // an answer or the end, before the request was sent
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

// A caller with a kept connection must learn the outcome of a request that it sends in the moment in which a
// stopping entry closes the connection. The relay's delay gives many requests the chance to cross the end.
func TestStoppingEntryTellsIdleCallers(t *testing.T) {
	const number = 300
	inLane(t)
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
		t.Errorf("ends: got %v, want idle connections that were closed and requests that crossed the end", got)
	}
}
