package cell

import (
	"strconv"
	"time"

	"wagtailhoist/core/model"
)

const (
	// minFold is the number of batches below which the change log is not folded into the base, so that folds
	// add at most 3% to the writes.
	minFold = 32
	// maxBase is the size of the base, in bytes, above which no more jobs are taken. The store takes values
	// up to 1 MB, and jobs grow when they are placed.
	maxBase = 512 << 10
	// maxLog is the size of the change log, in bytes, from which it is folded in any case, since the store takes
	// values up to 1 MB and one batch adds up to maxBatch.
	maxLog = 512 << 10
)

// journal keeps the plan and writes changes to it, one batch at a time.
type journal struct {
	writer string
	number uint64

	// plan is what is decided on. It is stored, the plan in the store as last known, unless changes are applied
	// ahead of their write; applied counts these, among the changes of flight and own in this order, and bytes
	// is their size.
	plan    *Plan
	stored  *Plan
	applied int
	bytes   int
	batches []Batch
	after   uint64
	base    uint64
	version uint64
	// size is that of the last base, length that of the last change log, in bytes.
	size, length int

	// loaded says that there is a plan, stale that the store may have a newer one.
	loaded, stale bool
	// busy says that a call is outstanding.
	busy bool
	// refresh allows one read of the plan; it is set at each tick, so that a store that is down is not asked
	// more often.
	refresh bool
	// flight is the batch whose fate is open.
	flight *Batch
	// cut says that the owner's changes in flight are not written again if they were not written.
	cut bool
	// probe says that the store was just seen unavailable, so that a read is to end early.
	probe    bool
	asked    []Request
	own      []Change
	requests []Request
	replies  []Effect
	// readers wait for a read of the plan that has not begun yet.
	readers []uint64
	reading []uint64
}

func newJournal(writer model.NodeID, now time.Time) journal {
	plan := &Plan{}
	return journal{writer: string(writer) + "/" + strconv.FormatInt(now.UnixNano(), 36), plan: plan, stored: plan}
}

// add queues changes of the owner.
func (l *journal) add(changes ...Change) { l.own = append(l.own, changes...) }

// ask queues a request, or refuses jobs that the plan has no room for.
func (l *journal) ask(r Request) {
	for _, c := range r.Changes {
		if c.Kind == Submitted && (l.size > maxBase || l.bytes > maxUnwritten) {
			l.replies = append(l.replies, Reply{Number: r.Number, Full: true})
			return
		}
	}
	l.requests = append(l.requests, r)
}

// renew asks for a read of the plan.
func (l *journal) renew(r Refresh) {
	l.readers = append(l.readers, r.Number)
	l.stale, l.refresh = true, true
}

// idle reports whether nothing is being written or waits to be.
func (l *journal) idle() bool {
	return !l.busy && l.flight == nil && len(l.own) == 0 && len(l.requests) == 0
}

// drop forgets the changes of an owner that has lost the cell, except those that any process may make.
func (l *journal) drop() {
	l.requeueAccepted()
	l.own, l.stale, l.cut = nil, true, l.flight != nil
	l.plan, l.applied, l.bytes = l.stored, 0, 0
}

// flush returns the next call to the store, and the replies that are due.
func (l *journal) flush(owner bool) []Effect {
	out := l.replies
	l.replies = nil
	if l.busy {
		return out
	}
	if !l.loaded || l.stale {
		if !l.refresh {
			return out
		}
		return append(out, l.load())
	}
	if !owner && len(l.requests) == 0 || len(l.own) == 0 && len(l.requests) == 0 {
		return out
	}
	if owner && l.full() {
		base := EncodeBase(l.stored)
		l.busy, l.size = true, len(base)
		return append(out, WriteBase{Value: base, Version: l.base})
	}
	var changes []Change
	if owner {
		changes = l.chunk()
		l.own = l.own[len(changes):]
	}
	if !owner || len(l.own) == 0 {
		l.asked, l.requests = l.requests, nil
	}
	for _, r := range l.asked {
		changes = append(changes, r.Changes...)
	}
	l.number++
	l.flight = &Batch{
		Revision: l.stored.Revision + uint64(len(changes)), Writer: l.writer, Number: l.number, Changes: changes,
	}
	l.busy = true
	value := EncodeLog(l.after, append(l.batches[:len(l.batches):len(l.batches)], *l.flight))
	l.length = len(value)
	return append(out, WriteLog{Value: value, Version: l.version})
}

// full reports whether the change log is due to be folded. With n batches in L bytes, a write costs L/2 on
// average and its part of a base of B bytes B/n; the sum is least where L*n = 2*B.
func (l *journal) full() bool {
	n := len(l.batches)
	return n >= minFold && l.length*n >= 2*l.size || n > 0 && l.length > maxLog
}

func (l *journal) load() Effect {
	l.busy, l.refresh = true, false
	l.reading, l.readers = append(l.reading, l.readers...), nil
	return LoadPlan{Probe: l.probe}
}

// wroteLog takes the answer to WriteLog and reports whether the plan has changed.
func (l *journal) wroteLog(a Answer) bool {
	l.busy = false
	if a.Code != OK {
		l.stale = true
		l.refresh = l.refresh || a.Code == Conflict
		return false
	}
	l.version = a.Version
	l.batches = append(l.batches, *l.flight)
	l.stored.Apply(*l.flight)
	l.settle(len(l.flight.Changes))
	l.done()
	return true
}

// wroteBase takes the answer to WriteBase; the log is emptied by the next write.
func (l *journal) wroteBase(a Answer) {
	l.busy = false
	if a.Code != OK {
		l.stale = true
		return
	}
	l.base, l.after, l.batches = a.Version, l.stored.Revision, nil
}

// read takes the answer to LoadPlan and reports whether there is a new plan.
func (l *journal) read(a Answer) bool {
	l.busy = false
	if a.Code != OK {
		return false
	}
	plan, batches, err := Load(a.Stored)
	if err != nil {
		return false
	}
	l.plan, l.stored, l.batches, l.after = plan, plan, batches, plan.Revision
	if len(batches) > 0 {
		l.after = batches[0].Revision - uint64(len(batches[0].Changes))
	}
	l.base, l.version = a.Stored.BaseVersion, a.Stored.ChangesVersion
	l.size, l.length = len(a.Stored.Base), len(a.Stored.Changes)
	l.loaded, l.stale = true, len(l.readers) > 0
	for _, number := range l.reading {
		l.replies = append(l.replies, Reply{Number: number})
	}
	l.reading = nil
	if l.flight != nil {
		l.resolve()
	}
	l.reapply()
	return true
}

// resolve settles the fate of the batch in flight by the plan that was read.
func (l *journal) resolve() {
	if l.stored.wrote(l.flight.Writer, l.flight.Number) {
		l.settle(len(l.flight.Changes))
		l.done()
		return
	}
	// The changes of requests follow those of the owner in a batch.
	asked := 0
	for _, r := range l.asked {
		asked += len(r.Changes)
	}
	if own := l.flight.Changes[:len(l.flight.Changes)-asked]; !l.cut {
		l.own = append(own[:len(own):len(own)], l.own...)
	}
	l.requests = append(l.asked, l.requests...)
	l.flight, l.asked, l.cut = nil, nil, false
}

func (l *journal) done() {
	for _, r := range l.asked {
		if r.Number != 0 {
			l.replies = append(l.replies, Reply{Number: r.Number})
		}
	}
	l.flight, l.asked, l.cut = nil, nil, false
}

// seen takes the version of the change log that a watch reported.
func (l *journal) seen(version uint64) {
	if version > l.version && !l.busy {
		l.stale = true
	}
}
