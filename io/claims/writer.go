package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wagtailhoist/core/claim"
	"wagtailhoist/core/model"
	"wagtailhoist/io/store"
)

const (
	// DefaultShards is the default number of logs that keys are spread over. All entries must use the same
	// number. More shards mean fewer bytes per claim but a longer wait for a share of the writes: at 1,000
	// claims per second by three entries, a claim takes 297 ms with 64 shards and 78 ms with 16
	// (docs/CLAIMS.md).
	DefaultShards = 16
	// DefaultWritesPerSecond is the default write rate of one writer; the store can take several hundred
	// writes per second from all writers together.
	DefaultWritesPerSecond = 100
	// DefaultMinWriteInterval is the default least time between two writes of a shard; claims made meanwhile
	// share a write.
	DefaultMinWriteInterval = 20 * time.Millisecond
	// callTimeout bounds a store call; a healthy store answers within milliseconds.
	callTimeout = 500 * time.Millisecond
	// maxUnansweredCalls is the number of consecutive calls without an answer after which operations are
	// refused.
	maxUnansweredCalls = 3
	// minBackoff and maxBackoff bound the time between calls to a store that does not answer.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
	// maxBatchOps is the number of operations decided together; it bounds how far a segment exceeds its size
	// limit.
	maxBatchOps = 128
)

// Store is the part of the key-value service that stores the logs.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	Put(ctx context.Context, key string, value []byte, version, lease uint64) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
	List(ctx context.Context, prefix string) ([]store.Item, uint64, error)
}

// Counters counts store calls and granted claims.
type Counters struct {
	Reads, Writes, Conflicts, Unanswered atomic.Uint64
	// Claims counts granted keys, Bytes the size of all written values in bytes.
	Claims, Bytes atomic.Uint64
}

// Writer claims and releases keys; it is safe for concurrent use. The fields are set before the first call.
type Writer struct {
	Store Store
	// Shards replaces DefaultShards if it is not 0.
	Shards int
	// Retention and SegmentBytes are those of claim.Log.
	Retention    time.Duration
	SegmentBytes int
	// MinWriteInterval replaces DefaultMinWriteInterval if it is not 0; a negative value means no delay.
	MinWriteInterval time.Duration
	// Now replaces time.Now if it is not nil.
	Now func() time.Time

	Counters Counters

	rateLimiter     rateLimiter
	writesPerSecond atomic.Int64
	once            sync.Once
	shards          []*shard
	ctx             context.Context
	cancel          context.CancelFunc
	work            sync.WaitGroup
}

// Claim returns nil if the attempt holds the key, until the key is released or its retention ends. The
// claim belongs to the request: if an attempt did not run, later attempts of the same request use the same
// claim. A DuplicateError means that another request holds the key, an UnavailableError that the key was
// not claimed.
func (w *Writer) Claim(ctx context.Context, team model.Team, key string, attempt model.Attempt) error {
	op := &claim.Op{Hash: claim.HashKey(team, key), Attempt: attempt}
	if err := w.submit(ctx, op); err != nil {
		return &claim.UnavailableError{Key: key, Cause: err}
	}
	if op.Outcome == claim.Duplicate {
		return &claim.DuplicateError{Team: team, Key: key, Holder: op.Holder.Attempt(), Since: op.Holder.Time()}
	}
	return nil
}

// Release releases the key. It may be called only if no attempt of the request ran or can still run. If
// the store does not answer, the writer retries while it runs.
func (w *Writer) Release(ctx context.Context, team model.Team, key string, attempt model.Attempt) error {
	op := &claim.Op{Hash: claim.HashKey(team, key), Attempt: attempt, Release: true}
	if err := w.submit(ctx, op); err != nil {
		return &claim.UnavailableError{Key: key, Cause: err}
	}
	return nil
}

// SetWritesPerSecond sets the write rate per second of this writer, its share of what all entries may write; 0
// means DefaultWritesPerSecond.
func (w *Writer) SetWritesPerSecond(perSecond int) { w.writesPerSecond.Store(int64(perSecond)) }

// writeRate returns the number of writes per second.
func (w *Writer) writeRate() float64 {
	if n := w.writesPerSecond.Load(); n > 0 {
		return float64(n)
	}
	return DefaultWritesPerSecond
}

// Close refuses new operations, waits until the others are decided or ctx ends, and refuses those still
// open then.
func (w *Writer) Close(ctx context.Context) {
	w.once.Do(w.start)
	for _, s := range w.shards {
		s.close()
	}
	done := make(chan struct{})
	go func() {
		w.work.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	w.cancel()
	<-done
}

// start applies the defaults and creates the shards.
func (w *Writer) start() {
	w.ctx, w.cancel = context.WithCancel(context.Background())
	if w.Shards == 0 {
		w.Shards = DefaultShards
	}
	if w.MinWriteInterval == 0 {
		w.MinWriteInterval = DefaultMinWriteInterval
	}
	if w.Now == nil {
		w.Now = time.Now
	}
	for i := range w.Shards {
		w.shards = append(w.shards, &shard{
			writer: w, index: i, log: claim.Log{Retention: w.Retention, SegmentBytes: w.SegmentBytes},
		})
	}
}

// submit passes op to its shard and waits for the outcome. An error means that the request must not run.
func (w *Writer) submit(ctx context.Context, op *claim.Op) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	w.once.Do(w.start)
	p := &pending{op: op, done: make(chan struct{})}
	if err := w.shards[op.Hash.Shard(w.Shards)].enqueue(p); err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		if p.abandonWait() {
			return ctx.Err()
		}
	}
	return p.err
}
