package evac

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wagtailhoist/io/clock"
	"wagtailhoist/io/store"
)

// testTimeout bounds each wait of a test. It is far longer than what is waited for takes on a busy machine.
const testTimeout = 30 * time.Second

// call is a call of a fakeStore.
type call struct {
	list    bool
	after   uint64
	wait    time.Duration
	entered time.Time
}

// answer is what a fakeStore answers a call with.
type answer struct {
	items    []store.Item
	revision uint64
	err      error
}

// fakeStore records its calls and answers them in turn. Without an answer left, a call waits for the end of its context.
type fakeStore struct {
	mu      sync.Mutex
	calls   []call
	answers []answer
}

func (s *fakeStore) next(ctx context.Context, c call) ([]store.Item, uint64, error) {
	s.mu.Lock()
	c.entered = clock.Now()
	s.calls = append(s.calls, c)
	if len(s.answers) > 0 {
		a := s.answers[0]
		s.answers = s.answers[1:]
		s.mu.Unlock()
		return a.items, a.revision, a.err
	}
	s.mu.Unlock()
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (s *fakeStore) List(ctx context.Context, _ string) ([]store.Item, uint64, error) {
	return s.next(ctx, call{list: true})
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Item, uint64, error) {
	return s.next(ctx, call{after: after, wait: wait})
}

func (s *fakeStore) made() []call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

func newWatcher(answers ...answer) (*Watcher, *fakeStore) {
	s := &fakeStore{answers: answers}
	return &Watcher{
		Store: s, Prefix: "evacuate/", Wait: time.Second, Log: slog.New(slog.DiscardHandler),
		Centre: func(key string) (string, bool) {
			centre, ok := strings.CutPrefix(key, "evacuate/")
			return centre, ok && centre != ""
		},
	}, s
}

// follow runs a watcher until it has made a number of calls, of which the last is not answered.
func follow(t *testing.T, w *Watcher, s *fakeStore, calls int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if len(s.made()) >= calls {
			return
		}
	}
	t.Fatalf("got calls %v, want %d", s.made(), calls)
}

func put(centre string, version uint64) store.Item {
	return store.Item{Key: "evacuate/" + centre, Version: version}
}

func removed(centre string) store.Item { return store.Item{Key: "evacuate/" + centre} }

// The set must be that of the store after any answers: a withdrawal has no version of its own, several changes of a key may be in
// one answer, and changes that a listing in parts already contains are repeated.
func TestSetFollowsAnswers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		answers []answer
		want    []string
	}{
		{"none", []answer{{revision: 4}}, nil},
		{"listed", []answer{{items: []store.Item{put("a", 3)}, revision: 4}}, []string{"a"}},
		{"created and withdrawn", []answer{{revision: 4}, {items: []store.Item{put("a", 5), put("b", 6), removed("a")}, revision: 9}}, []string{"b"}},
		{"withdrawn and created again", []answer{
			{items: []store.Item{put("a", 3)}, revision: 4},
			{items: []store.Item{removed("a"), put("a", 6)}, revision: 9},
		}, []string{"a"}},
		{"created again in the next answer", []answer{
			{items: []store.Item{put("a", 3)}, revision: 4},
			{items: []store.Item{removed("a")}, revision: 9},
			{items: []store.Item{put("a", 10)}, revision: 10},
		}, []string{"a"}},
		{"changes before a part of the listing", []answer{
			{items: []store.Item{put("a", 7)}, revision: 4},
			{items: []store.Item{removed("a")}, revision: 6},
		}, []string{"a"}},
		{"history lost", []answer{
			{items: []store.Item{put("a", 3), put("b", 4)}, revision: 4},
			{err: &store.HistoryError{}},
			{items: []store.Item{put("b", 4), put("c", 8)}, revision: 9},
		}, []string{"b", "c"}},
		{"store fails", []answer{
			{items: []store.Item{put("a", 3)}, revision: 4},
			{err: errors.New("down")},
			{items: []store.Item{put("b", 5)}, revision: 5},
		}, []string{"a", "b"}},
		{"odd names", []answer{
			{items: []store.Item{put("", 2), put("x/y", 3), put("\x00\ufffd", 4)}, revision: 4},
			{items: []store.Item{removed(""), removed("never")}, revision: 9},
		}, []string{"\x00\ufffd", "x/y"}},
	} {
		w, s := newWatcher(tc.answers...)
		if w.Synced() {
			t.Errorf("%s: got a synced watcher before the first listing", tc.name)
		}
		evacuated := -1
		w.Changed = func(n int) { evacuated = n }
		follow(t, w, s, len(tc.answers)+1)
		set, revision := w.Snapshot()
		if got := set.Centres(); !slices.Equal(got, tc.want) || !w.Synced() {
			t.Errorf("%s: got %q and synced %v, want %q", tc.name, got, w.Synced(), tc.want)
		}
		if want := tc.answers[len(tc.answers)-1].revision; revision != want {
			t.Errorf("%s: got revision %d, want %d", tc.name, revision, want)
		}
		if evacuated != len(tc.want) {
			t.Errorf("%s: got the number %d passed on, want %d", tc.name, evacuated, len(tc.want))
		}
	}
}

// A process that was suspended while an answer waited for it handles the answer late. Counted from then, the set would pass as
// current although it is as old as the suspension.
func TestSetIsAsOldAsTheCall(t *testing.T) {
	w, s := newWatcher(answer{revision: 4}, answer{revision: 5})
	follow(t, w, s, 3)
	if got, entered := w.AsOf(), s.made()[1].entered; got.After(entered) {
		t.Errorf("got a set as of %v after the watch that began at %v was answered", got, entered)
	}
	if got, entered := w.AsOf(), s.made()[0].entered; got.Before(entered) {
		t.Errorf("got a set as of %v, want that of the watch after the listing at %v", got, entered)
	}
}

// After a failed call, a watch with the full wait would leave the set without a proof of its age for that long.
func TestWatchAfterAFailureIsShort(t *testing.T) {
	w, s := newWatcher(answer{revision: 4}, answer{revision: 4}, answer{err: errors.New("down")}, answer{revision: 4})
	follow(t, w, s, 5)
	var got []time.Duration
	for _, c := range s.made() {
		got = append(got, c.wait)
	}
	if want := []time.Duration{0, w.Wait, w.Wait, retryWait, w.Wait}; !slices.Equal(got, want) {
		t.Errorf("got waits %v, want %v", got, want)
	}
}

// An agent that was suspended, or whose watch hangs, must read the requests before its next start. While the store doesn't answer
// it keeps the last known set, and starts don't wait for each failed read.
func TestRefreshReadsAnOldSet(t *testing.T) {
	w, s := newWatcher(answer{revision: 4}, answer{items: []store.Item{put("a", 6)}, revision: 6})
	w.Refresh(context.Background())
	if !w.Synced() || w.Contains("a") || len(s.made()) != 1 {
		t.Fatalf("got calls %v and synced %v, want a listing before the first start", s.made(), w.Synced())
	}
	w.Refresh(context.Background())
	if got := len(s.made()); got != 1 {
		t.Errorf("got %d calls, want none while the set is current", got)
	}
	w.asOf = clock.Now().Add(-w.Wait - 2*currentSlack)
	w.Refresh(context.Background())
	if !w.Contains("a") {
		t.Error("got the old set after the suspension")
	}
	w.asOf = clock.Now().Add(-time.Hour)
	s.answers = []answer{{err: errors.New("down")}, {revision: 9}}
	w.Refresh(context.Background())
	w.Refresh(context.Background())
	if got := len(s.made()); !w.Contains("a") || got != 3 {
		t.Errorf("got %d calls and a evacuated: %v, want one failed listing and the last known set", got, w.Contains("a"))
	}
	w.failedAt = clock.Now().Add(-2 * refreshPause)
	w.Refresh(context.Background())
	if w.Contains("a") {
		t.Error("got the old set after the store answered again")
	}
}

// A late answer of the watch must not undo a listing by Refresh, which has overtaken it.
func TestLateWatchDoesNotUndoRefresh(t *testing.T) {
	w, _ := newWatcher(answer{items: []store.Item{put("a", 6)}, revision: 8})
	w.Refresh(context.Background())
	w.apply([]store.Item{removed("a"), put("b", 5)}, 5, false)
	if set, _ := w.Snapshot(); !slices.Equal(set.Centres(), []string{"a"}) {
		t.Errorf("got %v, want a", set.Centres())
	}
}

// A key that names no data centre is logged once, not at each listing.
func TestOddKeyIsLoggedOnce(t *testing.T) {
	var log strings.Builder
	w, s := newWatcher(answer{items: []store.Item{put("", 2)}, revision: 4}, answer{err: &store.HistoryError{}},
		answer{items: []store.Item{put("", 2)}, revision: 4})
	w.Log = slog.New(slog.NewTextHandler(&log, nil))
	follow(t, w, s, 4)
	if got := strings.Count(log.String(), "names no data centre"); got != 1 {
		t.Errorf("got %d lines, want 1:\n%s", got, log.String())
	}
}
