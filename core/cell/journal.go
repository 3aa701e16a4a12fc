package cell

import (
	"strconv"
	"time"

	"wagtailhoist/core/model"
)

const (
	// minFoldBatches is the number of batches from which the change log may be folded into the base, so that folds add
	// at most 3% to the number of writes.
	minFoldBatches = 32
	// maxBaseBytes is the size of the base above which no more jobs are accepted. The store takes values up to 1 MB,
	// and jobs grow when they are placed.
	maxBaseBytes = 512 << 10
	// maxLogBytes is the size of the change log above which it is folded regardless of the number of batches. The
	// store takes values up to 1 MB, and one batch adds up to maxBatchBytes.
	maxLogBytes = 512 << 10
)

// journal holds the plan and writes changes to it, one batch at a time, with at most one call to the store outstanding.
type journal struct {
	// writer identifies this process and its start, batchNumber its last batch.
	writer      string
	batchNumber uint64

	// storedPlan is the plan in the store as last known. plan is the one that decisions are based on: storedPlan, or a
	// clone of it with changes that a detached owner has applied before their write. These are the first
	// appliedUnwritten changes of inFlight and ownerChanges, in this order; unwrittenBytes is their size.
	plan             *Plan
	storedPlan       *Plan
	appliedUnwritten int
	unwrittenBytes   int
	// batches is the change log, and logAfter the plan revision that its first batch follows. baseVersion and logVersion
	// are the versions of the two keys in the store, baseBytes and logBytes the sizes of their values.
	batches             []Batch
	logAfter            uint64
	baseVersion         uint64
	logVersion          uint64
	baseBytes, logBytes int

	// hasPlan says that a plan has been read, stale that the store may have a newer one.
	hasPlan, stale bool
	// storeCallPending says that a call to the store is outstanding.
	storeCallPending bool
	// mayRead allows one read of the plan. It is set at each tick, so that a store that is down is not called more
	// often.
	mayRead bool
	// inFlight is the batch that was sent and of which it isn't known yet whether it was written.
	inFlight *Batch
	// dropInFlight says that the owner's changes in inFlight are dropped if it turns out that they were not written.
	dropInFlight bool
	// probeRead says that the store did not answer the last renewal, so that reads get a shorter timeout.
	probeRead bool
	// requestsInFlight holds the requests whose changes are in inFlight.
	requestsInFlight []ChangeRequest
	// ownerChanges and queuedRequests wait to be written, replies to be returned by flush.
	ownerChanges   []Change
	queuedRequests []ChangeRequest
	replies        []Effect
	// queuedReads holds the numbers of the PlanReadRequest events that wait for a read that hasn't begun yet, readsInFlight those
	// that the outstanding read serves.
	queuedReads   []uint64
	readsInFlight []uint64
}

func newJournal(writer model.NodeID, now time.Time) journal {
	plan := &Plan{}
	return journal{writer: string(writer) + "/" + strconv.FormatInt(now.UnixNano(), 36), plan: plan, storedPlan: plan}
}

// addOwnerChanges queues changes that only the owner of the cell may make.
func (j *journal) addOwnerChanges(changes ...Change) {
	j.ownerChanges = append(j.ownerChanges, changes...)
}

// queueRequest queues a request. It refuses submissions while the plan or its unwritten changes are too large.
func (j *journal) queueRequest(r ChangeRequest) {
	for _, c := range r.Changes {
		if c.Kind == JobSubmitted && (j.baseBytes > maxBaseBytes || j.unwrittenBytes > maxUnwrittenBytes) {
			j.replies = append(j.replies, Reply{Number: r.Number, PlanFull: true})
			return
		}
	}
	j.queuedRequests = append(j.queuedRequests, r)
}

// queueRead queues a read of the plan.
func (j *journal) queueRead(r PlanReadRequest) {
	j.queuedReads = append(j.queuedReads, r.Number)
	j.stale, j.mayRead = true, true
}

// idle reports whether no call to the store is outstanding and no change waits to be written.
func (j *journal) idle() bool {
	return !j.storeCallPending && j.inFlight == nil && len(j.ownerChanges) == 0 && len(j.queuedRequests) == 0
}

// dropOwnerChanges drops the unwritten changes of a process that no longer owns the cell, except those that any process
// may make.
func (j *journal) dropOwnerChanges() {
	j.requeueAccepted()
	j.ownerChanges, j.stale, j.dropInFlight = nil, true, j.inFlight != nil
	j.plan, j.appliedUnwritten, j.unwrittenBytes = j.storedPlan, 0, 0
}

// flush returns the replies that are due and, if none is outstanding, the next call to the store. The changes of the
// owner are included only if asOwner is set.
func (j *journal) flush(asOwner bool) []Effect {
	out := j.replies
	j.replies = nil
	if j.storeCallPending {
		return out
	}
	if !j.hasPlan || j.stale {
		if !j.mayRead {
			return out
		}
		return append(out, j.readPlan())
	}
	if !asOwner && len(j.queuedRequests) == 0 || len(j.ownerChanges) == 0 && len(j.queuedRequests) == 0 {
		return out
	}
	if asOwner && j.foldDue() {
		base := EncodeBase(j.storedPlan)
		j.storeCallPending, j.baseBytes = true, len(base)
		return append(out, WriteBase{Value: base, Version: j.baseVersion})
	}
	var changes []Change
	if asOwner {
		changes = j.nextOwnerChanges()
		j.ownerChanges = j.ownerChanges[len(changes):]
	}
	if !asOwner || len(j.ownerChanges) == 0 {
		j.requestsInFlight, j.queuedRequests = j.queuedRequests, nil
	}
	for _, r := range j.requestsInFlight {
		changes = append(changes, r.Changes...)
	}
	j.batchNumber++
	j.inFlight = &Batch{
		Revision: j.storedPlan.Revision + uint64(len(changes)), Writer: j.writer, Number: j.batchNumber, Changes: changes,
	}
	j.storeCallPending = true
	value := EncodeLog(j.logAfter, append(j.batches[:len(j.batches):len(j.batches)], *j.inFlight))
	j.logBytes = len(value)
	return append(out, WriteLog{Value: value, Version: j.logVersion})
}

// foldDue reports whether the change log is to be folded into the base. With n batches in a log of L bytes and a base of
// B bytes, each write of the log costs L/2 bytes on average, and its share of the next fold B/n bytes. The sum is least
// where L*n = 2*B.
func (j *journal) foldDue() bool {
	n := len(j.batches)
	return n >= minFoldBatches && j.logBytes*n >= 2*j.baseBytes || n > 0 && j.logBytes > maxLogBytes
}

// readPlan returns the call that reads the plan. It also serves all reads that are queued by now.
func (j *journal) readPlan() Effect {
	j.storeCallPending, j.mayRead = true, false
	j.readsInFlight, j.queuedReads = append(j.readsInFlight, j.queuedReads...), nil
	return LoadPlan{Probe: j.probeRead}
}

// handleWriteLog handles the answer to WriteLog and reports whether the plan has changed.
func (j *journal) handleWriteLog(a Answer) bool {
	j.storeCallPending = false
	if a.Code != OK {
		j.stale = true
		j.mayRead = j.mayRead || a.Code == Conflict
		return false
	}
	j.logVersion = a.Version
	j.batches = append(j.batches, *j.inFlight)
	j.storedPlan.Apply(*j.inFlight)
	j.recordWritten(len(j.inFlight.Changes))
	j.completeInFlight()
	return true
}

// handleWriteBase handles the answer to WriteBase. The next write of the change log replaces the folded batches.
func (j *journal) handleWriteBase(a Answer) {
	j.storeCallPending = false
	if a.Code != OK {
		j.stale = true
		return
	}
	j.baseVersion, j.logAfter, j.batches = a.Version, j.storedPlan.Revision, nil
}

// handleLoadPlan handles the answer to LoadPlan and reports whether a plan was read.
func (j *journal) handleLoadPlan(a Answer) bool {
	j.storeCallPending = false
	if a.Code != OK {
		return false
	}
	plan, batches, err := DecodePlan(a.Stored)
	if err != nil {
		return false
	}
	j.plan, j.storedPlan, j.batches, j.logAfter = plan, plan, batches, plan.Revision
	if len(batches) > 0 {
		j.logAfter = batches[0].Revision - uint64(len(batches[0].Changes))
	}
	j.baseVersion, j.logVersion = a.Stored.BaseVersion, a.Stored.ChangesVersion
	j.baseBytes, j.logBytes = len(a.Stored.Base), len(a.Stored.Changes)
	j.hasPlan, j.stale = true, len(j.queuedReads) > 0
	for _, number := range j.readsInFlight {
		j.replies = append(j.replies, Reply{Number: number})
	}
	j.readsInFlight = nil
	if j.inFlight != nil {
		j.resolveInFlight()
	}
	j.reapplyUnwritten()
	return true
}

// resolveInFlight finds out from the plan that was read whether the batch in flight was written. If not, its changes are
// queued again, except those of an owner that has lost the cell.
func (j *journal) resolveInFlight() {
	if j.storedPlan.hasBatch(j.inFlight.Writer, j.inFlight.Number) {
		j.recordWritten(len(j.inFlight.Changes))
		j.completeInFlight()
		return
	}
	// In a batch, the changes of requests follow those of the owner.
	requested := 0
	for _, r := range j.requestsInFlight {
		requested += len(r.Changes)
	}
	if ownerChanges := j.inFlight.Changes[:len(j.inFlight.Changes)-requested]; !j.dropInFlight {
		j.ownerChanges = append(ownerChanges[:len(ownerChanges):len(ownerChanges)], j.ownerChanges...)
	}
	j.queuedRequests = append(j.requestsInFlight, j.queuedRequests...)
	j.inFlight, j.requestsInFlight, j.dropInFlight = nil, nil, false
}

// completeInFlight answers the requests of the batch in flight, which was written.
func (j *journal) completeInFlight() {
	for _, r := range j.requestsInFlight {
		if r.Number != 0 {
			j.replies = append(j.replies, Reply{Number: r.Number})
		}
	}
	j.inFlight, j.requestsInFlight, j.dropInFlight = nil, nil, false
}

// noteLogVersion marks the plan as stale if a watch has reported a newer version of the change log.
func (j *journal) noteLogVersion(logVersion uint64) {
	if logVersion > j.logVersion && !j.storeCallPending {
		j.stale = true
	}
}
