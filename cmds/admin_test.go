package cmds

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/io/admin"
	"wagtailhoist/io/conf"
)

// A process behind a partition must not drop out of the status, and one that stopped as planned must
// not be waited for.
func TestLostProcessesStayForAWhile(t *testing.T) {
	f := &fleet{exchange: &conf.Exchange{}}
	start := time.Unix(1000, 0)
	states := func(now time.Time, live ...admin.Process) map[model.NodeID]string {
		processes := map[model.NodeID]admin.Process{}
		for _, p := range live {
			processes[p.ID] = p
		}
		out := map[model.NodeID]string{}
		for _, p := range f.withLost(now, processes) {
			out[p.ID] = p.State
		}
		return out
	}
	ready := admin.Process{ID: "ready", State: "ready", Revision: 3}
	leaving := admin.Process{ID: "leaving", State: "draining"}
	states(start, ready, leaving)
	for _, tc := range []struct {
		name string
		at   time.Duration
		live []admin.Process
		want map[model.NodeID]string
	}{
		{"vanished", time.Second, nil, map[model.NodeID]string{"ready": stateLost}},
		{"still lost", lostTime, nil, map[model.NodeID]string{"ready": stateLost}},
		{"back", lostTime, []admin.Process{ready}, map[model.NodeID]string{"ready": "ready"}},
		{"forgotten", 2*lostTime + 1, nil, map[model.NodeID]string{}},
	} {
		got := states(start.Add(tc.at), tc.live...)
		if len(got) != len(tc.want) || got["ready"] != tc.want["ready"] {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

// A call that stops the process must be answered: the stop may reach the listener before the handler has written.
func TestStopWaitsForTheAnswerInProgress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(stop)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "draining")
	})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	closed := make(chan error, 1)
	go func() {
		<-stop
		closed <- closeAnswered(context.Background(), server)
	}()
	resp, err := http.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatalf("got no answer: %v", err)
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	got, err := io.ReadAll(resp.Body)
	if err != nil || string(got) != "draining" {
		t.Errorf("got answer %q, %v, want %q", got, err, "draining")
	}
	if err := <-closed; err != nil {
		t.Errorf("got error %v at the close", err)
	}
	<-served
}

// A handler that never returns must not hold up the stop.
func TestStopGivesUpOnStuckAnswers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	entered := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
	})}
	go func() { _ = server.Serve(l) }()
	failed := make(chan error, 1)
	go func() {
		_, err := http.Get("http://" + l.Addr().String())
		failed <- err
	}()
	<-entered
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := closeAnswered(ctx, server); err != nil {
		t.Errorf("got error %v at the close", err)
	}
	if err := <-failed; err == nil {
		t.Error("got an answer from a handler that never wrote, want a closed connection")
	}
}
