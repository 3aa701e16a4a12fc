package minion

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"wagtailhoist/stand/echo"
	"wagtailhoist/stand/fault"
	"wagtailhoist/stand/serve"
)

func newMinion(t *testing.T, slots int) (*Minion, string) {
	t.Helper()
	m := &Minion{id: "m", slots: slots, faults: &fault.Set{}}
	m.counts = Counts{Keys: map[string]int{}, IDs: map[string]int{}}
	server := httptest.NewUnstartedServer(m.faults.Wrap("minion", http.HandlerFunc(m.execute)))
	m.listener = serve.NewReopenableListener(server.Listener, 2)
	server.Listener = m.listener
	server.Start()
	t.Cleanup(server.Close)
	return m, server.URL
}

func send(t *testing.T, url, id string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("two nets"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(echo.ID, id)
	req.Header.Set(echo.Key, "key-"+id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// The counts must include an execution whose answer was lost, and answers must depend on their request.
func TestCountsAndAnswers(t *testing.T) {
	m, url := newMinion(t, 8)
	_, body, err := send(t, url+"/route?size=500", "a")
	want := echo.Answer(echo.Request{
		Method: "POST", Path: "/route?size=500", ID: "a", Key: "key-a", Body: []byte("two nets"),
	}, 500)
	if err != nil || string(body) != string(want) || len(body) != 500 {
		t.Errorf("answer: got %d bytes, error %v, want the request's own answer of 500 bytes", len(body), err)
	}
	other := echo.Answer(echo.Request{Method: "POST", Path: "/route?size=500", ID: "b", Key: "key-a", Body: []byte("two nets")}, 500)
	if string(other) == string(want) {
		t.Error("the answers of two requests are equal")
	}
	for _, mode := range []fault.Mode{fault.LoseAnswer, fault.Refuse} {
		m.faults.Add(fault.Fault{Mode: mode, Count: 1})
		if _, _, err := send(t, url, string(mode)); err == nil {
			t.Errorf("%s: got an answer, want a broken connection", mode)
		}
	}
	if m.counts.Keys["key-lost"] != 1 || m.counts.Keys["key-refuse"] != 0 || m.counts.IDs["a"] != 1 {
		t.Errorf("counts: got %+v, want one execution of key-lost and none of key-refuse", m.counts)
	}
}

// waitUntilClosed waits until no connection to the minion is open.
func waitUntilClosed(t *testing.T, m *Minion) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); m.listener.Open() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("open connections: got %d, want 0", m.listener.Open())
		}
	}
}

// A minion must not execute or accept more than its slots and connections allow: tests of the agent's limits rely on this.
func TestLimits(t *testing.T) {
	m, url := newMinion(t, 1)
	var wait sync.WaitGroup
	statuses := make(chan int, 2)
	for _, id := range []string{"a", "b"} {
		wait.Go(func() {
			if resp, _, err := send(t, url+"/?time=1s", id); err == nil {
				statuses <- resp.StatusCode
			}
		})
	}
	wait.Wait()
	close(statuses)
	sum := 0
	for s := range statuses {
		sum += s
	}
	if sum != http.StatusOK+http.StatusServiceUnavailable || m.counts.Overflow != 1 {
		t.Errorf("sum of the statuses: got %d with %d refused for lack of a slot, want 200 and 503", sum, m.counts.Overflow)
	}
	waitUntilClosed(t, m)
	m.mu.Lock()
	m.slots = 3
	m.mu.Unlock()
	for range 3 {
		wait.Go(func() { _, _, _ = send(t, url+"/?time=1s", "c") })
	}
	wait.Wait()
	if got := m.listener.RejectedConnections.Load(); got != 1 {
		t.Errorf("connections above the limit of 2: got %d, want 1", got)
	}
	if err := m.listener.SetRefusing(true); err != nil {
		t.Fatal(err)
	}
	if _, _, err := send(t, url, "d"); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Errorf("dialling a minion that refuses connections: got %v, want refused", err)
	}
	if err := m.listener.SetRefusing(false); err != nil {
		t.Fatal(err)
	}
	// The minion may close the connections of answered requests after their answers have arrived; until then they count.
	waitUntilClosed(t, m)
	if _, _, err := send(t, url, "e"); err != nil {
		t.Errorf("sending after the listener has opened again: got %v, want no error", err)
	}
}
