package proxy

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/io/store"
)

// listingStore lists and returns conflicts with items of a given size.
type listingStore struct {
	fakeStore
	bytes int
}

func (s *listingStore) List(context.Context, string) ([]store.Item, uint64, error) {
	return []store.Item{{Key: "k", Version: 3, Value: make([]byte, s.bytes)}}, 9, nil
}

func (s *listingStore) Commit(context.Context, store.Change) (uint64, error) {
	return 0, &store.CheckError{Items: []store.Item{{Key: "k", Version: 3, Value: make([]byte, s.bytes)}}}
}

// newListingPeer returns a store that reaches only a peer, which lists items of the given size, and the peer's answers.
func newListingPeer(t *testing.T, bytes int, limit int64) (*Store, *Store, *Answers) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	answers := &Answers{Limit: limit}
	peer := &Store{Direct: &listingStore{bytes: bytes}, Token: "t", Log: log, Answers: answers}
	server := httptest.NewServer(peer)
	t.Cleanup(server.Close)
	return &Store{
		Direct: &fakeStore{err: refused}, Peers: func() []string { return []string{server.Listener.Addr().String()} },
		Token: "t", HTTP: http.DefaultClient, Log: log,
	}, peer, answers
}

// A reply that is written item by item must be read as one that is encoded as a whole, by earlier versions too.
func TestReplyOnTheWire(t *testing.T) {
	for _, want := range []Reply{
		{},
		{Number: 9, Kind: errorRefused, Status: 503, Detail: "d"},
		{Items: []store.Item{{Key: "k", Version: 3, Value: []byte("v"), Lease: 4}, {Key: "removed"}}, Number: 9},
		{Items: []store.Item{{Key: "k"}}},
		{Items: make([]store.Item, 300), Kind: errorCheck, Detail: "d"},
	} {
		var out bytes.Buffer
		if err := want.writeTo(&out); err != nil {
			t.Fatal(err)
		}
		var got Reply
		if err := cbor.Unmarshal(out.Bytes(), &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %v and %v, want %v", got, err, want)
		}
	}
}

// An answer for which there is no room must not look like one of the store, and must not end direct calls, which go on for others. That
// of a change must have an unknown outcome.
func TestAnswerWithoutRoom(t *testing.T) {
	s, peer, answers := newListingPeer(t, 100<<10, 64<<10)
	var isRefused *store.RefusedError
	if _, _, err := s.List(context.Background(), "k"); !errors.As(err, &isRefused) {
		t.Errorf("list: got %v, want a RefusedError", err)
	}
	if _, err := s.Commit(context.Background(), store.Change{}); !isUnknown(err) {
		t.Errorf("change: got %v, want an unknown outcome", err)
	}
	if !peer.directAllowed() {
		t.Error("direct calls of the peer: got suspended, want allowed")
	}
	if got := answers.Held(); got != 0 {
		t.Errorf("bytes held: got %d, want 0", got)
	}
	answers.Limit = 1 << 20
	if items, _, err := s.List(context.Background(), "k"); err != nil || len(items) != 1 || len(items[0].Value) != 100<<10 {
		t.Errorf("list with room: got %d items and %v, want 1", len(items), err)
	}
}

// The answers that peers don't read must give way to another one, and their sum must stay within the budget. A page that the store
// sends must be charged while it arrives, and the pages before it too.
func TestUnreadAnswersGiveWay(t *testing.T) {
	const limit, page = 1 << 20, 100 << 10
	a := &Answers{Limit: limit}
	unread := make([]*answer, 0, 20)
	for range cap(unread) {
		r := a.newAnswer("crowd")
		if err := r.received(page); err != nil {
			t.Fatalf("answer of the crowd: got %v, want others to give way", err)
		}
		if err := r.decoded([]store.Item{{Value: make([]byte, page)}}); err != nil {
			t.Fatal(err)
		}
		unread = append(unread, r)
		if got := a.Held(); got > limit {
			t.Fatalf("bytes held: got %d, want at most %d", got, limit)
		}
	}
	if unread[0].startWriting(nil) {
		t.Error("answer without progress for the longest time: got it written, want it given up")
	}
	other := a.newAnswer("other")
	for _, received := range []int64{512, page, 512, page} {
		if err := other.received(received); err != nil {
			t.Fatalf("answer beside unread ones: got %v, want room", err)
		}
	}
	if got, want := other.claim.Held(), int64(page+receivedFactor*page); got != want {
		t.Errorf("bytes held by two pages: got %d, want %d", got, want)
	}
	for _, r := range append(unread, other) {
		r.release()
	}
	if got := a.Held(); got != 0 {
		t.Errorf("bytes held in the end: got %d, want 0", got)
	}
}

// Answers that arrive must not give way to each other: the memory of each is in use until its call of the store has ended. Those that
// find no room are refused, and one address must leave room for others.
func TestArrivingAnswersStay(t *testing.T) {
	const limit, page = 1 << 20, 100 << 10
	a := &Answers{Limit: limit}
	var arriving []*answer
	for {
		r := a.newAnswer("crowd")
		if r.received(page) != nil {
			break
		}
		arriving = append(arriving, r)
	}
	if got, want := len(arriving), limit*3/4/(receivedFactor*page); got != want {
		t.Errorf("answers of one address: got %d, want %d", got, want)
	}
	if err := a.newAnswer("other").received(page); err != nil {
		t.Errorf("answer to another address: got %v, want room", err)
	}
	for _, r := range arriving {
		if err := r.decoded(nil); err != nil || !r.startWriting(nil) {
			t.Errorf("answer that has arrived: got %v, want it written", err)
		}
		r.release()
	}
}

// The largest page of the store must fit into the least budget while there is nothing else.
func TestLargestPageFitsIntoTheLeastBudget(t *testing.T) {
	a := &Answers{Limit: MinAnswerBudget}
	r := a.newAnswer("peer")
	if err := r.received(8<<20 + 1); err != nil {
		t.Errorf("page of 8 MiB: got %v, want room", err)
	}
}
