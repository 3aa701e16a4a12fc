package serve

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The worker service's double must count a renewal from when it was received. Counted from when a busy machine handles it, it
// extends a grant by the machine's delay.
func TestReceivedAtIsBeforeTheHandler(t *testing.T) {
	l := openListener(t, "127.0.0.1:0")
	ctx, cancel := context.WithCancel(t.Context())
	const delay = 300 * time.Millisecond
	type times struct{ started, received time.Time }
	handled := make(chan times, 1)
	served := make(chan error, 1)
	go func() {
		served <- HTTP(ctx, l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			started := time.Now()
			time.Sleep(delay)
			handled <- times{started, ReceivedAt(r)}
		}))
	}()
	sent := time.Now()
	resp, err := http.Post("http://"+l.Addr().String(), "text/plain", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	// The system counts in ticks of up to 10 ms.
	const tick = 20 * time.Millisecond
	if got := <-handled; got.received.Before(sent.Add(-tick)) || got.received.After(got.started.Add(tick)) {
		t.Errorf("received %v after it was sent and %v before the handler started; want both not below %v",
			got.received.Sub(sent), got.started.Sub(got.received), -tick)
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
