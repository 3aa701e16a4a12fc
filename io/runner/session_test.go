package runner

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/link"
)

// lines collects log lines of several goroutines.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// A process that is no longer the owner accepts links and closes them at once. Agents reconnect ten times a second, so a
// log line for each of these links would flood the log.
func TestLinkWithoutOrdersIsNotLoggedAsAnOwner(t *testing.T) {
	for _, tc := range []struct {
		name   string
		orders bool
		want   int
	}{
		{"owner", true, 1},
		{"owner no more", false, 0},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			l, err := link.Accept(w, r, link.Settings{Self: link.Hello{Node: "e1", Role: link.RoleEntry}, Token: "t"})
			if err != nil {
				t.Errorf("accept: %v", err)
				return
			}
			defer l.Close()
			if tc.orders {
				if err := l.Send(link.Orders{Orders: batch.Orders{Fence: 3}}); err != nil {
					t.Errorf("send: %v", err)
				}
				// The agent's report shows that the link is up.
				if _, err := l.Receive(); err != nil {
					t.Errorf("receive: %v", err)
				}
			}
		}))
		log := &lines{}
		r := newRunner(&fakeWorker{})
		r.Log = slog.New(slog.NewJSONHandler(log, nil))
		r.Settings = link.Settings{Self: link.Hello{Node: "n1", Role: link.RoleAgent}, Token: "t"}
		address := strings.TrimPrefix(server.URL, "http://")
		r.Owner = func() string { return address }
		r.init()
		r.session(context.Background(), address)
		for _, line := range []string{"owner reached", "owner lost"} {
			if got := strings.Count(log.String(), line); got != tc.want {
				t.Errorf("%s: got %q %d times, want %d:\n%s", tc.name, line, got, tc.want, log)
			}
		}
		server.Close()
	}
}
