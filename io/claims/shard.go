package claims

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"wagtailhoist/core/claim"
	"wagtailhoist/io/store"
)

// pending is an operation and the state of the caller that waits for its outcome.
type pending struct {
	op   *claim.Op
	done chan struct{}
	err  error

	mu         sync.Mutex
	callerLeft bool
	completed  bool
}

// abandonWait records that the caller stops waiting. It returns false if the outcome is already set.
func (p *pending) abandonWait() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callerLeft = !p.completed
	return p.callerLeft
}

// complete passes the outcome to the caller. It returns false if the caller has stopped waiting.
func (p *pending) complete(err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err, p.completed = err, true
	close(p.done)
	return !p.callerLeft
}

// shard processes the operations of one log. Its goroutine runs while there are operations to decide.
type shard struct {
	writer *Writer
	index  int

	mu      sync.Mutex
	queue   []*pending
	running bool
	closed  bool

	// The fields below are used by the goroutine only.
	log        claim.Log
	undecided  []*pending
	unanswered int
	lastErr    error
	// batchBegun is set once the current batch has waited for its write slot; lastWrite is when the last write
	// succeeded.
	batchBegun bool
	lastWrite  time.Time
}

var errClosed = errors.New("claims writer is closed")

// enqueue queues an operation and starts the goroutine if it is not running.
func (s *shard) enqueue(p *pending) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errClosed
	}
	s.queue = append(s.queue, p)
	if !s.running {
		s.running = true
		s.writer.work.Go(s.run)
	}
	return nil
}

// run makes the store calls of the log until no operation is left or the writer is closed.
func (s *shard) run() {
	for {
		s.waitForWrite()
		s.submitQueued()
		step, ok := s.log.Next(s.writer.Now())
		s.deliverOutcomes()
		if !ok {
			if s.stopIfIdle() {
				return
			}
			continue
		}
		reply := s.callStore(step)
		err := s.log.HandleReply(s.writer.Now(), step, reply)
		if err != nil {
			s.lastErr = err
		}
		s.trackFailures(err != nil || reply.Status == claim.Unknown)
		s.deliverOutcomes()
		if s.writer.ctx.Err() != nil {
			s.refuseRemaining()
			return
		}
	}
}

// waitForWrite delays the next batch until the least interval between writes and the rate limit of the
// writer allow its write, so that claims made meanwhile share it. A batch that has begun is not delayed:
// between its read and its write, or after a conflict, a delay would give other writers time to make its
// read stale.
func (s *shard) waitForWrite() {
	if s.batchBegun {
		return
	}
	if rest := s.writer.MinWriteInterval - time.Since(s.lastWrite); rest > 0 {
		s.sleep(rest)
	}
	if d := s.writer.rateLimiter.reserve(time.Now(), s.writer.writeRate()); d > 0 {
		s.sleep(d)
	}
	s.batchBegun = true
}

// submitQueued submits queued operations to the log, up to maxBatchOps.
func (s *shard) submitQueued() {
	s.mu.Lock()
	n := min(len(s.queue), max(0, maxBatchOps-len(s.undecided)))
	taken := s.queue[:n]
	s.queue = s.queue[n:]
	s.mu.Unlock()
	for _, p := range taken {
		s.log.Submit(p.op)
	}
	s.undecided = append(s.undecided, taken...)
}

// trackFailures counts consecutive store calls without an answer and backs off after each; after
// maxUnansweredCalls it abandons the open operations.
func (s *shard) trackFailures(failed bool) {
	if !failed {
		s.unanswered = 0
		return
	}
	s.unanswered++
	if s.unanswered >= maxUnansweredCalls {
		s.log.Abandon()
		s.deliverOutcomes()
	}
	s.sleep(min(maxBackoff, minBackoff<<min(s.unanswered, 10)))
}

// sleep waits for d or until the writer is closed.
func (s *shard) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.writer.ctx.Done():
	}
}

// deliverOutcomes passes outcomes to callers. A key granted to a caller that has stopped waiting is
// released.
func (s *shard) deliverOutcomes() {
	rest := s.undecided[:0]
	for _, p := range s.undecided {
		var err error
		switch p.op.Outcome {
		case claim.Open:
			rest = append(rest, p)
			continue
		case claim.Abandoned:
			err = fmt.Errorf("store did not answer repeated calls: %w", s.lastErr)
		case claim.Granted:
			s.writer.Counters.Claims.Add(1)
		case claim.Duplicate, claim.Released:
		}
		if !p.complete(err) && p.op.Outcome == claim.Granted {
			s.log.Submit(&claim.Op{Hash: p.op.Hash, Attempt: p.op.Attempt, Release: true})
		}
	}
	clear(s.undecided[len(rest):])
	s.undecided = rest
}

// stopIfIdle reports whether no operation is left, and marks the goroutine as ended in that case.
func (s *shard) stopIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) > 0 || s.log.Busy() {
		return false
	}
	s.running = false
	return true
}

// close makes the shard refuse new operations.
func (s *shard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// refuseRemaining refuses the operations that are not decided when the time to close has passed.
func (s *shard) refuseRemaining() {
	s.mu.Lock()
	taken := s.queue
	s.queue, s.running = nil, false
	s.mu.Unlock()
	for _, p := range taken {
		s.log.Submit(p.op)
	}
	s.undecided = append(s.undecided, taken...)
	s.lastErr = errClosed
	s.log.Abandon()
	s.deliverOutcomes()
}

// prefix returns the prefix of the keys of the shard's segments.
func (s *shard) prefix() string { return fmt.Sprintf("claims/%03d/", s.index) }

// key returns the key of a segment. The number is padded so that keys sort in numerical order.
func (s *shard) key(number uint64) string { return fmt.Sprintf("%s%012d", s.prefix(), number) }

// callStore makes the store call of a step.
func (s *shard) callStore(step claim.Step) claim.Reply {
	ctx, cancel := context.WithTimeout(s.writer.ctx, callTimeout)
	defer cancel()
	count := &s.writer.Counters
	switch step.Call {
	case claim.List:
		count.Reads.Add(1)
		items, _, err := s.writer.Store.List(ctx, s.prefix())
		return s.storeReply(err, 0, items...)
	case claim.Read:
		count.Reads.Add(1)
		item, err := s.writer.Store.Get(ctx, s.key(step.Number))
		item.Key = s.key(step.Number)
		return s.storeReply(err, 0, item)
	case claim.Write:
		count.Writes.Add(1)
		count.Bytes.Add(uint64(len(step.Value)))
		version, err := s.writer.Store.Put(ctx, s.key(step.Number), step.Value, step.Version, 0)
		if err == nil && step.Version != 0 { // a write with version 0 only creates an empty segment
			s.batchBegun, s.lastWrite = false, time.Now()
		}
		return s.storeReply(err, version)
	case claim.Delete:
		count.Writes.Add(1)
		return s.storeReply(s.writer.Store.Delete(ctx, s.key(step.Number), step.Version), 0)
	}
	return claim.Reply{Status: claim.Unknown}
}

// storeReply converts the result of a store call to a claim.Reply. An error other than a conflict or a
// missing key means that the outcome is unknown.
func (s *shard) storeReply(err error, version uint64, items ...store.Item) claim.Reply {
	var conflict *store.ConflictError
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &conflict):
		s.writer.Counters.Conflicts.Add(1)
		return claim.Reply{Status: claim.Conflict}
	case errors.As(err, &missing):
		return claim.Reply{Status: claim.Missing}
	case err != nil:
		s.writer.Counters.Unanswered.Add(1)
		s.lastErr = err
		return claim.Reply{Status: claim.Unknown}
	}
	storeReply := claim.Reply{Version: version}
	for _, item := range items {
		number, err := strconv.ParseUint(strings.TrimPrefix(item.Key, s.prefix()), 10, 64)
		if err != nil {
			continue // not a segment
		}
		storeReply.Segments = append(storeReply.Segments, claim.StoredSegment{Number: number, Version: item.Version, Value: item.Value})
	}
	return storeReply
}
