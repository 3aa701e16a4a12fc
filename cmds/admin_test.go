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

// A process behind a network partition must stay in the status as lost; a process that drained before it
// vanished must not.
func TestLostProcessesStayInStatus(t *testing.T) {
	f := &fleet{exchange: &conf.Exchange{}}
	start := time.Unix(1000, 0)
	states := func(now time.Time, live ...admin.Process) map[model.NodeID]string {
		processes := map[model.NodeID]admin.Process{}
		for _, p := range live {
			processes[p.ID] = p
		}
		out := map[model.NodeID]string{}
		for _, p := range f.trackLost(now, processes) {
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
		{"still lost", lostRetention, nil, map[model.NodeID]string{"ready": stateLost}},
		{"back", lostRetention, []admin.Process{ready}, map[model.NodeID]string{"ready": "ready"}},
		{"forgotten", 2*lostRetention + 1, nil, map[model.NodeID]string{}},
	} {
		got := states(start.Add(tc.at), tc.live...)
		if len(got) != len(tc.want) || got["ready"] != tc.want["ready"] {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

// The call that stops the process must be answered, even if the shutdown starts before its handler has written.
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
		closed <- shutdownOrClose(context.Background(), server)
	}()
	resp, err := http.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatalf("got no answer: %v", err)
	}
	defer func() { _ = resp.Body.Close() }() // the body is read to its end
	got, err := io.ReadAll(resp.Body)
	if err != nil || string(got) != "draining" {
		t.Errorf("got answer %q, %v, want %q", got, err, "draining")
	}
	if err := <-closed; err != nil {
		t.Errorf("got error %v at the close", err)
	}
	<-served
}

// A handler that never returns must not block the shutdown.
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
	if err := shutdownOrClose(ctx, server); err != nil {
		t.Errorf("got error %v at the close", err)
	}
	if err := <-failed; err == nil {
		t.Error("got an answer from a handler that never wrote, want a closed connection")
	}
}
