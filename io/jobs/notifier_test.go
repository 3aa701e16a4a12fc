package jobs

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

// quiet is a store whose watches show nothing.
type quiet struct{ items []store.Item }

func (q *quiet) List(context.Context, string) ([]store.Item, uint64, error) { return q.items, 1, nil }

func (q *quiet) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]store.Item, uint64, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// synced returns a copy that has its first list.
func synced(t *testing.T, items ...store.Item) *mirror.Mirror {
	t.Helper()
	m := &mirror.Mirror{Store: &quiet{items}, Log: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, _, ok := m.Status(); ok {
			return m
		}
	}
	t.Fatal("no first list")
	return nil
}

// Guards against jobs that wait for a watch that shows nothing (load: the store forgets its history), and against
// notices by those who don't know the token.
func TestOwnerLearnsOfAJobWithoutItsWatch(t *testing.T) {
	owner := synced(t)
	server := httptest.NewServer(&Notifier{Mirror: owner, Token: "t", Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(server.Close)
	lead, err := batch.Encode(mirror.EntryInfo{ID: "o", Address: server.Listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	entry := synced(t, store.Item{Key: mirror.OwnerKey, Value: lead, Version: 1})
	for _, test := range []struct {
		token string
		id    string
		want  bool
	}{{"wrong", "j0", false}, {"t", "j1", true}} {
		n := &Notifier{Mirror: entry, Token: test.token, HTTP: http.DefaultClient, Log: slog.New(slog.DiscardHandler)}
		value, err := batch.Encode(&batch.Job{ID: "j"})
		if err != nil {
			t.Fatal(err)
		}
		item := store.Item{Key: batch.JobPrefix + test.id, Value: value, Version: 7}
		if err := n.send(entry.Owner(), item); err != nil {
			t.Fatal(err)
		}
		got := false
		owner.View(func(b *batch.Cache) {
			for id := range b.Jobs {
				got = got || string(id) == test.id
			}
		})
		if got != test.want {
			t.Errorf("token %q: got the job known %v, want %v", test.token, got, test.want)
		}
	}
}
