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
)

// journal keeps the plan and writes changes to it, one batch at a time.
type journal struct {
	writer string
	number uint64

	plan    *Plan
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
	flight   *Batch
	asked    []Request
	own      []Change
	requests []Request
	replies  []Effect
	// readers wait for a read of the plan that has not begun yet.
	readers []uint64
	reading []uint64
}

func newJournal(writer model.NodeID, now time.Time) journal {
	return journal{writer: string(writer) + "/" + strconv.FormatInt(now.UnixNano(), 36), plan: &Plan{}}
}

// add queues changes of the owner.
func (l *journal) add(changes ...Change) { l.own = append(l.own, changes...) }

// ask queues a request, or refuses jobs that the plan has no room for.
func (l *journal) ask(r Request) {
	for _, c := range r.Changes {
		if c.Kind == Submitted && l.size > maxBase {
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

// drop forgets the changes of an owner that has lost the cell.
func (l *journal) drop() {
	l.own, l.stale = nil, true
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
		base := EncodeBase(l.plan)
		l.busy, l.size = true, len(base)
		return append(out, WriteBase{Value: base, Version: l.base})
	}
	var changes []Change
	if owner {
		changes, l.own = l.own, nil
	}
	l.asked, l.requests = l.requests, nil
	for _, r := range l.asked {
		changes = append(changes, r.Changes...)
	}
	l.number++
	l.flight = &Batch{
		Revision: l.plan.Revision + uint64(len(changes)), Writer: l.writer, Number: l.number, Changes: changes,
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
	return n >= minFold && l.length*n >= 2*l.size
}

func (l *journal) load() Effect {
	l.busy, l.refresh = true, false
	l.reading, l.readers = append(l.reading, l.readers...), nil
	return LoadPlan{}
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
	l.plan.Apply(*l.flight)
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
	l.base, l.after, l.batches = a.Version, l.plan.Revision, nil
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
	l.plan, l.batches, l.after = plan, batches, plan.Revision
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
	if l.flight == nil {
		return true
	}
	if plan.wrote(l.flight.Writer, l.flight.Number) {
		l.done()
		return true
	}
	// The changes of requests follow those of the owner in a batch.
	asked := 0
	for _, r := range l.asked {
		asked += len(r.Changes)
	}
	own := l.flight.Changes[:len(l.flight.Changes)-asked]
	l.own = append(own[:len(own):len(own)], l.own...)
	l.requests = append(l.asked, l.requests...)
	l.flight, l.asked = nil, nil
	return true
}

func (l *journal) done() {
	for _, r := range l.asked {
		if r.Number != 0 {
			l.replies = append(l.replies, Reply{Number: r.Number})
		}
	}
	l.flight, l.asked = nil, nil
}

// seen takes the version of the change log that a watch reported.
func (l *journal) seen(version uint64) {
	if version > l.version && !l.busy {
		l.stale = true
	}
}
