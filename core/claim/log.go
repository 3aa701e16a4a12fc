package claim

import (
	"slices"
	"time"

	"wagtailhoist/core/model"
)

const (
	// DefaultRetention is how long a claim holds its key at least, unless it is released.
	DefaultRetention = time.Hour
	// DefaultSegmentBytes is the size at which a segment is sealed. A claim that is not batched writes half of it on
	// average: 2.1 kB at 4 KiB, 8.2 kB at 16 KiB for 0.7% fewer writes (BenchmarkSegment).
	DefaultSegmentBytes = 4 << 10
	// MaxClockSkew is the largest difference assumed between the clocks of two entry processes. Claims are kept that
	// much longer, so that a process whose clock is ahead does not expire them early.
	MaxClockSkew = time.Minute
)

// segment is the local copy of a stored segment.
type segment struct {
	number, version uint64
	sealed          bool
	entries         []Entry
	lastTime        time.Time // latest time of the entries
}

// orphan is an abandoned operation whose attempt may still get the key: its write, if one was sent, may take effect as
// long as the head has the number and version that the write requires.
type orphan struct {
	hash            Hash
	attempt         model.Attempt
	number, version uint64
}

// Log is the state of a writer of one shard. Next returns the store call that the open operations need, HandleReply applies the
// reply to it. The zero value is a log that has not been read. A Log is not safe for concurrent use.
type Log struct {
	// Retention replaces DefaultRetention when it is not 0.
	Retention time.Duration
	// SegmentBytes, in bytes, replaces DefaultSegmentBytes when it is not 0.
	SegmentBytes int

	loaded bool // the segments have been listed
	// headUncertain means that the stored head may differ from the local copy.
	headUncertain bool
	// contended means that other writers are active. The head is then read before each write, because the store has
	// more capacity for reads than for writes and a conflict costs one of each.
	contended bool
	// endReadSinceWrite means that the end of the log was read after the last write.
	endReadSinceWrite bool
	// pruneCheckDue means that the oldest segment is checked for deletion before the next call, even if operations
	// are open: a shard that is never idle must be pruned too.
	pruneCheckDue bool
	// prevVersion is the version that the segment before the head must still have; 0 once this is verified.
	prevVersion uint64
	// nextAbsent means that the segment after the sealed head did not exist when it was last read.
	nextAbsent bool
	head       segment
	earlier    []segment // the segments before the head without their entries, in the order of numbers
	active     map[Hash]Entry
	open       []*Op
	inDoubt    []*Op // open operations with a write that may or may not have taken effect
	orphans    []orphan
}

// Submit adds operations to be decided.
func (l *Log) Submit(ops ...*Op) { l.open = append(l.open, ops...) }

// Busy reports whether open operations or orphans are left.
func (l *Log) Busy() bool { return len(l.open) > 0 || len(l.orphans) > 0 }

// Active returns the number of claims in memory.
func (l *Log) Active() int { return len(l.active) }

// Abandon gives up the open operations because the store does not answer. Claims that have taken effect nevertheless are
// released once the store answers again.
func (l *Log) Abandon() {
	for _, op := range l.open {
		o := orphan{hash: op.Hash, attempt: op.Attempt}
		if slices.Contains(l.inDoubt, op) {
			o.number, o.version = l.head.number, l.head.version
		}
		l.orphans = append(l.orphans, o)
		op.Outcome = Abandoned
	}
	l.open, l.inDoubt = nil, nil
}

// Next returns the store call that is needed now, or false if there is none. It also decides the operations that need no
// call.
func (l *Log) Next(now time.Time) (Step, bool) {
	if !l.Busy() {
		return l.pruneStep(now)
	}
	if l.pruneCheckDue {
		l.pruneCheckDue = false
		if step, ok := l.pruneStep(now); ok {
			return step, true
		}
	}
	switch {
	case !l.loaded:
		return Step{Call: List}, true
	case l.headUncertain:
		return Step{Call: Read, Number: l.head.number, purpose: rereadHead}, true
	case l.prevVersion != 0:
		return Step{Call: Read, Number: l.head.number - 1, Version: l.prevVersion, purpose: verifyPrevious}, true
	case l.head.sealed && !l.nextAbsent:
		return Step{Call: Read, Number: l.head.number + 1, purpose: readNext}, true
	}
	needsWrite := l.resolveOrphans()
	entries, ops, needsRead := l.planWrite(now)
	switch {
	case needsRead:
		return l.rereadStep(), true
	case len(entries) == 0 && !needsWrite:
		return l.pruneStep(now)
	case l.contended && !l.endReadSinceWrite:
		return l.rereadStep(), true
	case l.head.sealed:
		return Step{Call: Write, Number: l.head.number + 1, Value: Segment{}.Encode(), purpose: createNext}, true
	}
	return l.appendStep(entries, ops), true
}

// rereadStep returns the step that reads the end of the log again: the head or, if it is sealed, the next segment.
func (l *Log) rereadStep() Step {
	if l.head.sealed {
		return Step{Call: Read, Number: l.head.number + 1, purpose: readNext}
	}
	return Step{Call: Read, Number: l.head.number, purpose: rereadHead}
}

// planWrite decides the operations that need no write and returns the entries to write for the others and the orphans. It
// reports needsRead if the end of the log must be read before an operation can be refused as a duplicate, because the holder
// may have released the key meanwhile.
func (l *Log) planWrite(now time.Time) (entries []Entry, ops []*Op, needsRead bool) {
	planned := map[Hash]bool{}
	for _, o := range l.orphans {
		if l.holdsKey(o) {
			planned[o.hash] = true
			entries = append(entries, newEntry(now, o.hash, o.attempt, true))
		}
	}
	write := func(op *Op) {
		planned[op.Hash] = true
		entries = append(entries, newEntry(now, op.Hash, op.Attempt, op.Release))
		ops = append(ops, op)
	}
	// Releases come first, so that a claim of a key that is being released is not refused as a duplicate.
	for _, op := range l.open {
		switch holder, ok := l.activeClaim(now, op.Hash); {
		case !op.Release || planned[op.Hash]:
		case ok && holder.Attempt() == op.Attempt:
			write(op)
		default:
			op.Outcome = Released
		}
	}
	for _, op := range l.open {
		holder, ok := l.activeClaim(now, op.Hash)
		switch {
		case op.Release || planned[op.Hash]: // a planned key waits for the write of the earlier operation
		case ok && holder.Attempt() == op.Attempt:
			op.Outcome = Granted
		case ok && op.endRead:
			op.Outcome, op.Holder = Duplicate, holder
		case ok:
			needsRead = true
		default:
			write(op)
		}
	}
	l.removeDecided()
	return entries, ops, needsRead
}

// removeDecided removes the decided operations from the open ones.
func (l *Log) removeDecided() {
	l.open = slices.DeleteFunc(l.open, func(op *Op) bool { return op.Outcome != Open })
}

// resolveOrphans removes the orphans that neither hold their key nor can still get it. It reports whether one of the others
// may still get its key by a late write, which a write that changes the version of the head prevents.
func (l *Log) resolveOrphans() (needsWrite bool) {
	rest := l.orphans[:0]
	for _, o := range l.orphans {
		holdsKey := l.holdsKey(o)
		writePossible := o.number == l.head.number && o.version == l.head.version
		if holdsKey || writePossible {
			rest = append(rest, o)
		}
		needsWrite = needsWrite || writePossible && !holdsKey
	}
	l.orphans = rest
	return needsWrite
}

// holdsKey reports whether the claim of the orphan is in the log.
func (l *Log) holdsKey(o orphan) bool {
	holder, ok := l.active[o.hash]
	return ok && holder.Attempt() == o.attempt
}

// activeClaim returns the claim that holds the key at now, if there is one.
func (l *Log) activeClaim(now time.Time, hash Hash) (Entry, bool) {
	e, ok := l.active[hash]
	if !ok || l.expired(now, e.Time()) {
		return Entry{}, false
	}
	return e, true
}

// expired reports whether a claim made at the given time may be dropped at now.
func (l *Log) expired(now, at time.Time) bool {
	retention := l.Retention
	if retention == 0 {
		retention = DefaultRetention
	}
	// The additional second covers the rounding of stored times.
	return now.Sub(at) >= retention+MaxClockSkew+time.Second
}

// appendStep returns the step that appends the entries to the head, and seals the head if it is full.
func (l *Log) appendStep(entries []Entry, ops []*Op) Step {
	next := Segment{Entries: append(l.head.entries[:len(l.head.entries):len(l.head.entries)], entries...)}
	value := next.Encode()
	if len(value) >= l.segmentLimit() {
		next.Sealed = true
		value = next.Encode()
	}
	return Step{
		Call: Write, Number: l.head.number, Version: l.head.version, Value: value,
		purpose: appendToHead, entries: entries, ops: ops, sealed: next.Sealed,
	}
}

// pruneStep returns the step that deletes the first segment if all its claims have expired.
func (l *Log) pruneStep(now time.Time) (Step, bool) {
	if len(l.earlier) == 0 || !l.expired(now, l.earlier[0].lastTime) {
		return Step{}, false
	}
	return Step{Call: Delete, Number: l.earlier[0].number, Version: l.earlier[0].version, purpose: deleteFirst}, true
}

// segmentLimit returns the size in bytes at which a segment is sealed.
func (l *Log) segmentLimit() int {
	if l.SegmentBytes != 0 {
		return l.SegmentBytes
	}
	return DefaultSegmentBytes
}

func newEntry(now time.Time, hash Hash, attempt model.Attempt, release bool) Entry {
	return Entry{Hash: hash, Entry: attempt.Entry, Serial: attempt.Sequence, Seconds: now.Unix(), Release: release}
}
