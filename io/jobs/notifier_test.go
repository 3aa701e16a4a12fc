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

// idleStore lists items and has watches that never return a change.
type idleStore struct{ items []store.Item }

func (s *idleStore) List(context.Context, string) ([]store.Item, uint64, error) {
	return s.items, 1, nil
}

func (s *idleStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]store.Item, uint64, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// newSyncedMirror returns a running mirror that has applied its first list.
func newSyncedMirror(t *testing.T, items ...store.Item) *mirror.Mirror {
	t.Helper()
	m := &mirror.Mirror{Store: &idleStore{items}, Log: slog.New(slog.DiscardHandler)}
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
	t.Fatal("the mirror has not applied its first list")
	return nil
}

// Under load the store drops its history and the owner's watch delivers nothing; a new job would wait until the watch works
// again. The owner learns of it by a notification, which is refused without the right token.
func TestOwnerLearnsOfAJobWithoutItsWatch(t *testing.T) {
	ownerMirror := newSyncedMirror(t)
	server := httptest.NewServer(&Notifier{Mirror: ownerMirror, Token: "t", Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(server.Close)
	info, err := batch.Encode(mirror.EntryInfo{ID: "o", Address: server.Listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	entryMirror := newSyncedMirror(t, store.Item{Key: mirror.OwnerKey, Value: info, Version: 1})
	for _, test := range []struct {
		token string
		id    string
		want  bool
	}{{"wrong", "j0", false}, {"t", "j1", true}} {
		n := &Notifier{Mirror: entryMirror, Token: test.token, HTTP: http.DefaultClient, Log: slog.New(slog.DiscardHandler)}
		value, err := batch.Encode(&batch.Job{ID: "j"})
		if err != nil {
			t.Fatal(err)
		}
		item := store.Item{Key: batch.JobPrefix + test.id, Value: value, Version: 7}
		if err := n.sendItem(entryMirror.Owner(), item); err != nil {
			t.Fatal(err)
		}
		got := false
		ownerMirror.View(func(b *batch.Cache) {
			for id := range b.Jobs {
				got = got || string(id) == test.id
			}
		})
		if got != test.want {
			t.Errorf("token %q: got job in the owner's mirror %v, want %v", test.token, got, test.want)
		}
	}
}
