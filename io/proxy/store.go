package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/io/call"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/store"
)

// DirectStore is the store as this process reaches it.
type DirectStore interface {
	Get(ctx context.Context, key string) (store.Item, error)
	List(ctx context.Context, prefix string) ([]store.Item, uint64, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error)
	Commit(ctx context.Context, c store.Change) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

const (
	// Path is where a process takes calls for the store.
	Path = "/store"
	// shun is how long the direct way isn't used after it failed.
	shun = 600 * time.Millisecond
	// patience is how long a call may stay unanswered before another way is tried beside it: the store answers
	// in 4 ms, from another region in 50 ms, and in about 300 ms when it is slow.
	patience = 350 * time.Millisecond
	// relayLimit bounds a call by way of another process, beside the wait of a watch.
	relayLimit = 1200 * time.Millisecond
	// tries bounds the processes that are asked for a call.
	tries = 2
	// probeKey is read to find out whether the store answers; it need not exist.
	probeKey = "wh/probe"
	// maxRequest bounds a relayed call in bytes: a change has at most 32 records of a job's progress.
	maxRequest = 16 << 20
)

// Store calls the store directly while it answers, and by way of other processes while it doesn't.
type Store struct {
	Direct DirectStore
	// Peers returns the addresses of the processes that can be asked, this one excepted.
	Peers func() []string
	Token string
	HTTP  *http.Client
	Log   *slog.Logger

	// shunned is the end of the time in which the direct way isn't used, on the boot-time clock in nanoseconds.
	shunned atomic.Int64
	// doubted says that the last direct call had no answer.
	doubted atomic.Bool

	mu sync.Mutex
	// failed is closed when the direct way fails, so that waiting watches take another one.
	failed chan struct{}
}

// Get returns the item of key, or a NotFoundError.
func (s *Store) Get(ctx context.Context, key string) (store.Item, error) {
	r, err := s.call(ctx, &Request{Op: OpGet, Key: key})
	if err != nil || len(r.Items) == 0 {
		return store.Item{}, err
	}
	return r.Items[0], nil
}

// List returns all items whose keys begin with prefix, and a revision from which a watch misses nothing.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Item, uint64, error) {
	r, err := s.call(ctx, &Request{Op: OpList, Key: prefix})
	return r.Items, r.Number, err
}

// Watch waits at most wait for changes below prefix after a revision.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error) {
	r, err := s.call(ctx, &Request{Op: OpWatch, Key: prefix, After: after, Wait: wait})
	return r.Items, r.Number, err
}

// Commit applies a change as a whole. After a CheckError an earlier copy of the same call may have been applied.
func (s *Store) Commit(ctx context.Context, c store.Change) (uint64, error) {
	r, err := s.call(ctx, &Request{Op: OpCommit, Change: c})
	return r.Number, err
}

// Grant returns a new lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	r, err := s.call(ctx, &Request{Op: OpGrant, TTL: ttl})
	return r.Number, err
}

// Renew extends a lease, or returns a LeaseError.
func (s *Store) Renew(ctx context.Context, lease uint64) error {
	_, err := s.call(ctx, &Request{Op: OpRenew, Lease: lease})
	return err
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(ctx context.Context, lease uint64) error {
	_, err := s.call(ctx, &Request{Op: OpRevoke, Lease: lease})
	return err
}

// outcome is the result of one way.
type outcome struct {
	reply  Reply
	err    error
	direct bool
}

// call tries the direct way unless it failed lately, and then others. A call without an answer may have
// been carried out on the way that failed, so the result says so.
func (s *Store) call(ctx context.Context, q *Request) (Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan outcome, 2)
	running, unknown := 0, false
	var last error
	if s.open() {
		running++
		go func() {
			reply, err := s.ask(ctx, q)
			results <- outcome{reply, err, true}
		}()
	}
	relayed := false
	relay := func() {
		if !relayed {
			relayed = true
			running++
			go func() {
				reply, err := s.relay(ctx, q)
				results <- outcome{reply, err, false}
			}()
		}
	}
	timer := time.NewTimer(patience + q.Wait)
	defer timer.Stop()
	failed := s.failing()
	if running == 0 {
		relay()
	}
	for running > 0 {
		select {
		case <-timer.C:
			relay()
		case <-failed:
			failed = nil
			relay()
		case o := <-results:
			running--
			if settled(o.err) {
				if o.direct {
					s.shunned.Store(0)
					s.doubted.Store(false)
				}
				return o.reply, o.err
			}
			last, unknown = o.err, unknown || isUnknown(o.err)
			if o.direct && ctx.Err() == nil {
				s.avoid(q, o.err)
				relay()
			}
		}
	}
	if unknown && !isUnknown(last) {
		last = &store.UnavailableError{Op: string(q.Op), Cause: last}
	}
	return Reply{}, last
}

func isUnknown(err error) bool {
	var unknown *store.UnavailableError
	return errors.As(err, &unknown)
}

// open reports whether the direct way is to be used.
func (s *Store) open() bool { return clock.Now().UnixNano() >= s.shunned.Load() }

func (s *Store) avoid(q *Request, err error) {
	if s.open() {
		s.Log.Info("direct way to the store failed", "op", string(q.Op), "error", err)
	}
	s.shunned.Store(clock.Now().Add(shun).UnixNano())
	if isUnknown(err) {
		s.doubted.Store(true)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		close(s.failed)
		s.failed = nil
	}
}

// failing returns a channel that is closed when the direct way fails.
func (s *Store) failing() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = make(chan struct{})
	}
	return s.failed
}

// proven reports whether the direct way may carry a change: after a call without an answer, a read has to be answered
// first. A change that isn't answered either may have been applied, so that its caller can't try it again; one that
// isn't sent has not.
func (s *Store) proven(ctx context.Context) bool {
	if !s.doubted.Load() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if _, err := s.Direct.Get(ctx, probeKey); !settled(err) {
		return false
	}
	s.doubted.Store(false)
	return true
}

// ask makes a call directly.
func (s *Store) ask(ctx context.Context, q *Request) (Reply, error) {
	var r Reply
	var err error
	switch q.Op {
	case OpGet:
		var item store.Item
		item, err = s.Direct.Get(ctx, q.Key)
		r.Items = []store.Item{item}
	case OpList:
		r.Items, r.Number, err = s.Direct.List(ctx, q.Key)
	case OpWatch:
		r.Items, r.Number, err = s.Direct.Watch(ctx, q.Key, q.After, q.Wait)
	case OpCommit:
		if !s.proven(ctx) {
			return r, &store.RefusedError{Op: string(q.Op), Cause: fmt.Errorf("the store leaves calls unanswered")}
		}
		r.Number, err = s.Direct.Commit(ctx, q.Change)
	case OpGrant:
		r.Number, err = s.Direct.Grant(ctx, q.TTL)
	case OpRenew:
		err = s.Direct.Renew(ctx, q.Lease)
	case OpRevoke:
		err = s.Direct.Revoke(ctx, q.Lease)
	default:
		err = &store.RefusedError{Op: string(q.Op), Cause: fmt.Errorf("unknown call")}
	}
	return r, err
}

// relay asks other processes to make a call, one after the other.
func (s *Store) relay(ctx context.Context, q *Request) (Reply, error) {
	peers := s.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var last error = &store.RefusedError{Op: string(q.Op), Cause: fmt.Errorf("no other process is known")}
	unknown := false
	for _, peer := range peers[:min(tries, len(peers))] {
		reply, err := s.post(ctx, peer, q)
		if settled(err) {
			return reply, err
		}
		last, unknown = err, unknown || isUnknown(err)
	}
	if unknown && !isUnknown(last) {
		last = &store.UnavailableError{Op: string(q.Op), Cause: last}
	}
	return Reply{}, last
}

func (s *Store) post(ctx context.Context, peer string, q *Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayLimit+q.Wait)
	defer cancel()
	body, err := cbor.Marshal(q)
	if err != nil {
		return Reply{}, &store.RefusedError{Op: string(q.Op), Cause: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+Path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, &store.RefusedError{Op: string(q.Op), Cause: err}
	}
	req.Header.Set("Authorization", "Bearer "+s.Token)
	status, data, err := call.Do(s.HTTP, req, maxRequest)
	if call.Unsent(err) {
		return Reply{}, &store.RefusedError{Op: string(q.Op), Cause: err}
	}
	if err != nil {
		return Reply{}, &store.UnavailableError{Op: string(q.Op), Cause: err}
	}
	if status != http.StatusOK {
		return Reply{}, &store.RefusedError{Op: string(q.Op), Status: status}
	}
	var reply Reply
	if err := cbor.Unmarshal(data, &reply); err != nil {
		return Reply{}, &store.UnavailableError{Op: string(q.Op), Cause: err}
	}
	return reply, reply.err(q)
}

// ServeHTTP makes a call for another process, directly or not at all.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer "+s.Token {
		http.Error(w, "token refused", http.StatusUnauthorized)
		return
	}
	var q Request
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
	if err == nil {
		err = cbor.Unmarshal(data, &q)
	}
	if err != nil {
		http.Error(w, "call not readable", http.StatusBadRequest)
		return
	}
	reply := Reply{Fault: faultNotAsked, Detail: "the store doesn't answer here either"}
	if s.open() {
		answer, err := s.ask(r.Context(), &q)
		if !settled(err) && r.Context().Err() == nil {
			s.avoid(&q, err)
		}
		reply = replyOf(answer.Items, answer.Number, err)
	}
	out, err := cbor.Marshal(reply)
	if err != nil {
		http.Error(w, "reply not encoded", http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(out); err != nil {
		s.Log.Info("reply not sent", "op", string(q.Op), "error", err)
	}
}
