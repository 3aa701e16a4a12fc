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

// pending is an operation with the caller that waits for it.
type pending struct {
	op   *claim.Op
	done chan struct{}
	err  error

	mu      sync.Mutex
	left    bool
	decided bool
}

// leave notes that the caller waits no longer; false means that the verdict is there.
func (p *pending) leave() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left = !p.decided
	return p.left
}

// decide hands the verdict to the caller; false means that the caller has left.
func (p *pending) decide(err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err, p.decided = err, true
	close(p.done)
	return !p.left
}

// shard runs one log. Its goroutine ends when nothing is left to decide.
type shard struct {
	writer *Writer
	index  int

	mu      sync.Mutex
	queue   []*pending
	running bool
	closed  bool

	// The fields below belong to the goroutine.
	log      claim.Log
	waiting  []*pending
	failures int
	cause    error
	// begun says that the batch in progress has waited for its write, wrote when the last one was made.
	begun bool
	wrote time.Time
}

var errClosed = errors.New("the writer of claims has stopped")

func (s *shard) add(p *pending) error {
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

func (s *shard) run() {
	for {
		s.wait()
		s.join()
		step, ok := s.log.Next(s.writer.Now())
		s.deliver()
		if !ok {
			if s.idle() {
				return
			}
			continue
		}
		reply := s.do(step)
		err := s.log.Done(s.writer.Now(), step, reply)
		if err != nil {
			s.cause = err
		}
		s.judge(err != nil || reply.Status == claim.Unknown)
		s.deliver()
		if s.writer.ctx.Err() != nil {
			s.stop()
			return
		}
	}
}

// wait holds the next batch back until the pace and the writer's budget allow its write, so
// that claims that come meanwhile share it. A batch that has begun is not held back: between
// its read and its write, or after a conflict, other writers would only make it stale again.
func (s *shard) wait() {
	if s.begun {
		return
	}
	if rest := s.writer.Pace - time.Since(s.wrote); rest > 0 {
		s.pause(rest)
	}
	if d := s.writer.budget.reserve(time.Now(), s.writer.writes()); d > 0 {
		s.pause(d)
	}
	s.begun = true
}

// join moves queued operations into the log.
func (s *shard) join() {
	s.mu.Lock()
	n := min(len(s.queue), max(0, maxBatch-len(s.waiting)))
	taken := s.queue[:n]
	s.queue = s.queue[n:]
	s.mu.Unlock()
	for _, p := range taken {
		s.log.Begin(p.op)
	}
	s.waiting = append(s.waiting, taken...)
}

// judge counts calls without an answer, and gives the operations up after a few.
func (s *shard) judge(failed bool) {
	if !failed {
		s.failures = 0
		return
	}
	s.failures++
	if s.failures >= giveUp {
		s.log.Abandon()
		s.deliver()
	}
	s.pause(min(lastPause, firstPause<<min(s.failures, 10)))
}

func (s *shard) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.writer.ctx.Done():
	}
}

// deliver hands out verdicts. A key granted to a caller that has left is released again.
func (s *shard) deliver() {
	rest := s.waiting[:0]
	for _, p := range s.waiting {
		var err error
		switch p.op.Verdict {
		case claim.Open:
			rest = append(rest, p)
			continue
		case claim.Abandoned:
			err = fmt.Errorf("the store does not answer: %w", s.cause)
		case claim.Granted:
			s.writer.Counters.Claims.Add(1)
		case claim.Duplicate, claim.Released:
		}
		if !p.decide(err) && p.op.Verdict == claim.Granted {
			s.log.Begin(&claim.Op{Hash: p.op.Hash, Attempt: p.op.Attempt, Release: true})
		}
	}
	clear(s.waiting[len(rest):])
	s.waiting = rest
}

// idle ends the goroutine if nothing is left to decide.
func (s *shard) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) > 0 || s.log.Busy() {
		return false
	}
	s.running = false
	return true
}

// close refuses operations from now on.
func (s *shard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// stop refuses what is left when the time to close has passed.
func (s *shard) stop() {
	s.mu.Lock()
	taken := s.queue
	s.queue, s.running = nil, false
	s.mu.Unlock()
	for _, p := range taken {
		s.log.Begin(p.op)
	}
	s.waiting = append(s.waiting, taken...)
	s.cause = errClosed
	s.log.Abandon()
	s.deliver()
}

func (s *shard) prefix() string { return fmt.Sprintf("claims/%03d/", s.index) }

// key returns the key of a segment; the padding keeps the order of keys that of numbers.
func (s *shard) key(number uint64) string { return fmt.Sprintf("%s%012d", s.prefix(), number) }

// do makes a store call.
func (s *shard) do(step claim.Step) claim.Reply {
	ctx, cancel := context.WithTimeout(s.writer.ctx, callLimit)
	defer cancel()
	count := &s.writer.Counters
	switch step.Call {
	case claim.List:
		count.Reads.Add(1)
		items, _, err := s.writer.Store.List(ctx, s.prefix())
		return s.reply(err, 0, items...)
	case claim.Read:
		count.Reads.Add(1)
		item, err := s.writer.Store.Get(ctx, s.key(step.Number))
		item.Key = s.key(step.Number)
		return s.reply(err, 0, item)
	case claim.Write:
		count.Writes.Add(1)
		count.Bytes.Add(uint64(len(step.Value)))
		version, err := s.writer.Store.Put(ctx, s.key(step.Number), step.Value, step.Version, 0)
		if err == nil && step.Version != 0 { // version 0 creates an empty segment
			s.begun, s.wrote = false, time.Now()
		}
		return s.reply(err, version)
	case claim.Delete:
		count.Writes.Add(1)
		return s.reply(s.writer.Store.Delete(ctx, s.key(step.Number), step.Version), 0)
	}
	return claim.Reply{Status: claim.Unknown}
}

func (s *shard) reply(err error, version uint64, items ...store.Item) claim.Reply {
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
		s.cause = err
		return claim.Reply{Status: claim.Unknown}
	}
	reply := claim.Reply{Version: version}
	for _, item := range items {
		number, err := strconv.ParseUint(strings.TrimPrefix(item.Key, s.prefix()), 10, 64)
		if err != nil {
			continue // another key below the prefix
		}
		reply.Segments = append(reply.Segments, claim.Stored{Number: number, Version: item.Version, Value: item.Value})
	}
	return reply
}
