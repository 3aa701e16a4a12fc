package proxy

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/core/health"
	"wagtailhoist/io/call"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/intake"
	"wagtailhoist/io/store"
)

// DirectStore has the calls of the store, made by this process itself.
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
	// Path is the path at which a process accepts forwarded calls of the store.
	Path = "/store"
	// hedgeDelay is how long a direct call may stay unanswered before it is forwarded as well: the store answers in 4 ms,
	// from another region in 50 ms, and in about 300 ms when it is slow.
	hedgeDelay = 350 * time.Millisecond
	// forwardTimeout bounds a call forwarded to one process, in addition to the wait of a watch.
	forwardTimeout = 1200 * time.Millisecond
	// maxPeers bounds the processes to which a call is forwarded, one after the other.
	maxPeers = 2
	// peerProbeTimeout bounds the read by which a process shows that it reaches the store, which takes 300 ms when the store is slow.
	peerProbeTimeout = 500 * time.Millisecond
	// probeInterval is the interval of the reads by which a process finds out that the store answers again.
	probeInterval = 120 * time.Millisecond
	// probeKey is read to find out whether the store answers; it need not exist.
	probeKey = "wh/probe"
	// maxBodyBytes bounds a forwarded call and its reply: a change has at most 32 records of a job's progress.
	maxBodyBytes = 16 << 20
	// DefaultBudget is the memory budget of a Store that sets none, in bytes, and MinBudget the least one into which the largest call
	// fits while it is alone: one holder gets three quarters.
	DefaultBudget, MinBudget = 24 << 20, 22 << 20
	// bodyTimeout bounds the arrival of a forwarded call, which its sender gives up after forwardTimeout.
	bodyTimeout = 2 * forwardTimeout
)

// Store calls the store directly while it answers, and through other processes while it doesn't. As an http.Handler it
// serves calls that other processes forward.
type Store struct {
	Direct DirectStore
	// Peers returns the addresses of the processes to which calls can be forwarded, without this one.
	Peers func() []string
	// Token is the shared secret that authenticates forwarded calls.
	Token string
	HTTP  *http.Client
	Log   *slog.Logger
	// Bodies reads forwarded calls within a memory budget; nil means one with the limit DefaultBudget.
	Bodies *intake.Bodies
	// Answers bounds the memory of answers to forwarded calls; nil means with the limit DefaultAnswerBudget.
	Answers *Answers

	defaultAnswers   Answers
	defaultBodies    intake.Bodies
	setDefaultBodies sync.Once
	// decoding bounds the forwarded calls that are decoded at a time: lists of empty elements take up to 30 times their text.
	decoding intake.Gate

	mu sync.Mutex
	// health decides whether direct calls are made, by times on the boot-time clock.
	health health.Tracker
	// directFailed is closed when a direct call fails, so that other calls that wait, such as watches, are forwarded.
	directFailed chan struct{}
	// directBack is closed when a probe is answered, so that calls that wait for another process are made directly, too.
	directBack chan struct{}
	// probing is true while the store is probed.
	probing bool
	// lastPeer is the process that last had an answer of the store to a forwarded call, at lastPeerAt on the boot-time clock.
	lastPeer   string
	lastPeerAt time.Time
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

// Watch waits at most wait for changes below prefix after a revision, and returns them with the revision to go on from.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error) {
	r, err := s.call(ctx, &Request{Op: OpWatch, Key: prefix, After: after, Wait: wait})
	return r.Items, r.Number, err
}

// Commit applies a change as a whole. A CheckError may mean that another attempt at the same call was applied.
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

// outcome is the result of a direct or a forwarded call.
type outcome struct {
	reply  Reply
	err    error
	direct bool
}

// call makes a call directly unless direct calls failed lately, and forwards it if that fails or takes too long. The first
// answer of the store counts. Without any, the error is an UnavailableError if any attempt may have been carried out.
func (s *Store) call(ctx context.Context, q *Request) (Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan outcome, 2)
	pending, unknown := 0, false
	var lastErr error
	// arriving is set while parts of the answer to the direct call arrive.
	var arriving atomic.Bool
	called := false
	callDirect := func() {
		if !called {
			called = true
			pending++
			go func() {
				received := func(int64) error {
					arriving.Store(true)
					return nil
				}
				reply, err := s.callDirect(call.WithReceived(ctx, received), q)
				results <- outcome{reply, err, true}
			}()
		}
	}
	forwarded := false
	forward := func() {
		if !forwarded {
			forwarded = true
			// Once an attempt may have been carried out, the outcome is unknown anyhow.
			careful := q.Op == OpCommit && pending == 0 && !unknown
			pending++
			go func() {
				reply, err := s.forward(ctx, q, careful)
				results <- outcome{reply, err, false}
			}()
		}
	}
	timer := time.NewTimer(hedgeDelay + q.Wait)
	defer timer.Stop()
	failed := s.directFailure()
	if changes(q.Op) {
		s.wantChange()
	}
	back := s.directReturn()
	if s.directAllowed() {
		callDirect()
	} else {
		forward()
	}
	for pending > 0 {
		select {
		case <-timer.C:
			if arriving.Swap(false) {
				// A long answer on a slow link takes its time over another process too.
				timer.Reset(hedgeDelay)
				continue
			}
			forward()
		case <-failed:
			failed = nil
			forward()
		case <-back:
			back = nil
			callDirect()
		case o := <-results:
			pending--
			if answeredByStore(o.err) {
				if o.direct {
					s.recordRecovery()
				}
				return o.reply, o.err
			}
			lastErr, unknown = o.err, unknown || isUnknown(o.err)
			if o.direct && ctx.Err() == nil {
				s.suspendDirect(q, o.err)
				forward()
			}
		}
	}
	if unknown && !isUnknown(lastErr) {
		lastErr = &store.UnavailableError{Op: string(q.Op), Cause: lastErr}
	}
	return Reply{}, lastErr
}

// isUnknown reports whether a call that ended with err may have been carried out.
func isUnknown(err error) bool {
	var unknown *store.UnavailableError
	return errors.As(err, &unknown)
}

// directAllowed reports whether direct calls may be made.
func (s *Store) directAllowed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.CallAllowed(clock.Now())
}

// suspendDirect stops direct calls for health.RetryPause after one has failed, and has waiting calls forwarded.
func (s *Store) suspendDirect(q *Request, err error) {
	if s.directAllowed() {
		s.Log.Info("direct call of the store failed; forwarding calls through other processes", "op", string(q.Op), "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Failed(clock.Now(), isUnknown(err))
	s.startProbesLocked()
	if s.directFailed != nil {
		close(s.directFailed)
		s.directFailed = nil
	}
}

// directFailure returns a channel that is closed when a direct call fails.
func (s *Store) directFailure() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directFailed == nil {
		s.directFailed = make(chan struct{})
	}
	return s.directFailed
}

// directReturn returns a channel that is closed when a probe is answered.
func (s *Store) directReturn() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directBack == nil {
		s.directBack = make(chan struct{})
	}
	return s.directBack
}

// changes reports whether a call changes the store.
func changes(op Op) bool { return op == OpCommit || op == OpGrant || op == OpRenew }

// wantChange notes that a change is to be made, for which the store is probed while it doesn't answer.
func (s *Store) wantChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.ChangeWanted(clock.Now())
	s.startProbesLocked()
}

// startProbesLocked begins to probe the store if that is due.
func (s *Store) startProbesLocked() {
	if !s.probing && s.health.ProbeDue(clock.Now()) {
		s.probing = true
		go s.probe()
	}
}

// probe reads from the store every probeInterval while that is due. A read doesn't wait for the one before: a call that an outage
// swallowed is never answered.
func (s *Store) probe() {
	for {
		s.mu.Lock()
		s.probing = s.health.ProbeDue(clock.Now())
		probing := s.probing
		s.mu.Unlock()
		if !probing {
			return
		}
		go s.probeOnce()
		time.Sleep(probeInterval)
	}
}

// probeOnce reads from the store, and lets calls be made directly again if it answers.
func (s *Store) probeOnce() {
	ctx, cancel := context.WithTimeout(context.Background(), hedgeDelay)
	defer cancel()
	_, err := s.Direct.Get(ctx, probeKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !answeredByStore(err) {
		s.health.ProbeFailed(clock.Now())
		return
	}
	s.health.Recovered()
	s.health.Answered(clock.Now())
	if s.directBack != nil {
		close(s.directBack)
		s.directBack = nil
	}
}

// changesAllowed reports whether a change may be committed directly. If health.Tracker doesn't allow it at once, the store has to
// answer a read first.
func (s *Store) changesAllowed(ctx context.Context) bool {
	s.mu.Lock()
	allowed := s.health.ChangeAllowed(clock.Now())
	s.mu.Unlock()
	if allowed {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, hedgeDelay)
	defer cancel()
	if _, err := s.Direct.Get(ctx, probeKey); !answeredByStore(err) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.ProbeAnswered(clock.Now())
	return true
}

func (s *Store) recordAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Answered(clock.Now())
}

func (s *Store) recordRecovery() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Recovered()
}

// callDirect makes a call directly, and notes when the store has answered.
func (s *Store) callDirect(ctx context.Context, q *Request) (Reply, error) {
	r, err := s.callStore(ctx, q)
	if answeredByStore(err) {
		s.recordAnswer()
	}
	return r, err
}

// callStore makes a call directly. A change is made only if the store seems to answer.
func (s *Store) callStore(ctx context.Context, q *Request) (Reply, error) {
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
		if !s.changesAllowed(ctx) {
			return r, &store.RefusedError{Op: string(q.Op), Cause: fmt.Errorf("the store doesn't answer reads")}
		}
		r.Number, err = s.Direct.Commit(ctx, q.Change)
	case OpGrant:
		r.Number, err = s.Direct.Grant(ctx, q.TTL)
	case OpRenew:
		err = s.Direct.Renew(ctx, q.Lease)
	case OpRevoke:
		err = s.Direct.Revoke(ctx, q.Lease)
	default:
		err = &store.RefusedError{Op: string(q.Op), Cause: fmt.Errorf("unknown operation")}
	}
	return r, err
}

// forward forwards a call to at most maxPeers processes, one after the other, until the store has answered one of them. The one
// that had an answer lately comes first. If careful is set, the call is forwarded only to a process that reaches the store.
func (s *Store) forward(ctx context.Context, q *Request, careful bool) (Reply, error) {
	peers := s.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	fresh := s.freshPeer(clock.Now())
	if i := slices.Index(peers, fresh); i > 0 {
		peers[0], peers[i] = peers[i], peers[0]
	}
	var lastErr error = &store.RefusedError{Op: string(q.Op), Cause: fmt.Errorf("no other process is known to forward the call to")}
	unknown := false
	for _, peer := range peers[:min(maxPeers, len(peers))] {
		if careful && peer != fresh && !s.peerAnswers(ctx, peer) {
			lastErr = &store.RefusedError{Op: string(q.Op), Cause: fmt.Errorf("the store doesn't answer reads through %s in time", peer)}
			continue
		}
		reply, err := s.postToPeer(ctx, peer, q)
		if answeredByStore(err) {
			s.recordPeer(peer)
			return reply, err
		}
		lastErr, unknown = err, unknown || isUnknown(err)
	}
	if unknown && !isUnknown(lastErr) {
		lastErr = &store.UnavailableError{Op: string(q.Op), Cause: lastErr}
	}
	return Reply{}, lastErr
}

// peerAnswers reports whether a change may be forwarded to a process: the store has to answer a read through it first, and enough
// time has to be left. A change that was sent to a process which is cut off or suspended has an unknown outcome.
func (s *Store) peerAnswers(ctx context.Context, peer string) bool {
	begun := clock.Now()
	probeCtx, cancel := context.WithTimeout(ctx, peerProbeTimeout)
	defer cancel()
	_, err := s.postToPeer(probeCtx, peer, &Request{Op: OpGet, Key: probeKey})
	if !answeredByStore(err) {
		return false
	}
	s.recordPeer(peer)
	now := clock.Now()
	deadline, limited := ctx.Deadline()
	return !limited || enoughTime(now.Sub(begun), time.Until(deadline))
}

// enoughTime reports whether a change is likely to be answered in the time that is left, after a read that took a time: a change
// takes up to twice that.
func enoughTime(read, left time.Duration) bool { return left >= 2*read }

// freshPeer returns the process that had an answer of the store within health.FreshAnswer, or an empty string.
func (s *Store) freshPeer(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastPeerAt) > health.FreshAnswer {
		return ""
	}
	return s.lastPeer
}

// recordPeer notes that the store has answered a call that was forwarded to a process.
func (s *Store) recordPeer(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastPeer, s.lastPeerAt = peer, clock.Now()
}

// postToPeer forwards a call to one process. The error is a RefusedError if the call was certainly not carried out.
func (s *Store) postToPeer(ctx context.Context, peer string, q *Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout+q.Wait)
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
	status, data, err := call.Do(s.HTTP, req, maxBodyBytes)
	if call.NotSent(err) {
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

// bodies returns the reader of forwarded calls.
func (s *Store) bodies() *intake.Bodies {
	if s.Bodies != nil {
		return s.Bodies
	}
	s.setDefaultBodies.Do(func() { s.defaultBodies.Limit = DefaultBudget })
	return &s.defaultBodies
}

// ServeHTTP makes a call that another process forwards. It is made directly or not at all, never forwarded again.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer "+s.Token {
		intake.DropBody(w, r)
		http.Error(w, "token refused", http.StatusUnauthorized)
		return
	}
	body, err := s.bodies().Read(w, r, intake.Address(r), maxBodyBytes, time.Now().Add(bodyTimeout))
	if err != nil {
		http.Error(w, err.Error(), intake.StatusCode(err))
		return
	}
	// The call stays charged until it is answered: a store that is slow holds up the changes of all peers.
	defer body.Release()
	q, err := s.decodeCall(r, body)
	if err != nil {
		http.Error(w, err.Error(), intake.StatusCode(err))
		return
	}
	answer := s.answers().newAnswer(intake.Address(r))
	defer answer.release()
	reply := s.answerCall(r.Context(), q, answer)
	// A read has no effect, so that its refusal is true. The outcome of another call without an answer is unknown.
	if !answer.startWriting(http.NewResponseController(w)) {
		if q.isRead() {
			http.Error(w, errAnswerRoom.Error(), http.StatusServiceUnavailable)
			return
		}
		reply = &Reply{Kind: errorUnavailable, Detail: errAnswerRoom.Error()}
	}
	if err := reply.writeTo(answerWriter{w, answer}); err != nil {
		s.Log.Info("reply to a forwarded call not sent", "op", string(q.Op), "error", err)
	}
}

// answers returns the memory budget of answers.
func (s *Store) answers() *Answers {
	if s.Answers != nil {
		return s.Answers
	}
	return &s.defaultAnswers
}

// answerCall makes a forwarded call directly, if direct calls are made, and charges its answer. It returns nil if the answer is given up.
func (s *Store) answerCall(ctx context.Context, q *Request, answer *answer) *Reply {
	if !s.directAllowed() {
		return &Reply{Kind: errorNotAttempted, Detail: "the peer's direct calls of the store have failed too"}
	}
	result, err := s.callDirect(call.WithReceived(ctx, answer.received), q)
	reply := newReply(result.Items, result.Number, err)
	if answer.decoded(reply.Items) != nil {
		// The store isn't the cause, so that direct calls go on.
		return nil
	}
	if !answeredByStore(err) && ctx.Err() == nil {
		s.suspendDirect(q, err)
	}
	return &reply
}

// decodeCall decodes a forwarded call and charges the memory of the call in place of its body.
func (s *Store) decodeCall(r *http.Request, body *intake.Body) (*Request, error) {
	report, holder := s.bodies().Report, intake.Address(r)
	if err := s.decoding.Enter(r.Context()); err != nil {
		report.Refused(intake.Reason(err), holder)
		return nil, err
	}
	defer s.decoding.Leave()
	var q Request
	if err := cbor.Unmarshal(body.Bytes(), &q); err != nil {
		report.Refused(intake.ReasonInvalid, holder)
		return nil, errors.Wrap(err, "forwarded call can't be decoded")
	}
	if err := body.Replace(q.size()); err != nil {
		report.Refused(intake.Reason(err), holder)
		return nil, err
	}
	return &q, nil
}
