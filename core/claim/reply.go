package claim

import (
	"slices"
	"time"
)

// HandleReply applies the reply to a step. It returns an error if a stored segment can't be decoded; the log then decides nothing
// until the stored value is repaired.
func (l *Log) HandleReply(now time.Time, step Step, reply Reply) error {
	if step.Call == List {
		return l.handleList(reply)
	}
	switch step.purpose {
	case rereadHead:
		return l.handleRereadHead(reply)
	case readNext:
		return l.handleReadNext(reply)
	case verifyPrevious:
		l.handleVerifyPrevious(step, reply)
	case appendToHead:
		l.handleAppend(step, reply)
	case createNext:
		l.handleCreate(step, reply)
	case deleteFirst:
		l.handleDelete(now, reply)
	}
	return nil
}

// reset discards the local copy of the log, so that the next step lists the segments again.
func (l *Log) reset() {
	l.loaded, l.headUncertain, l.nextAbsent, l.prevVersion = false, false, false, 0
	l.head, l.earlier, l.inDoubt = segment{}, nil, nil
	clear(l.active)
}

// handleList replaces the local copy by the listed segments.
func (l *Log) handleList(reply Reply) error {
	if reply.Status != OK {
		return nil
	}
	l.reset()
	l.active = map[Hash]Entry{}
	if len(reply.Segments) == 0 {
		// A shard without segments is treated as a log whose segment 0 is sealed, so that segment 1 is created next.
		l.head = segment{sealed: true}
		l.loaded, l.nextAbsent = true, true
		l.markEndRead()
		return nil
	}
	for i, stored := range reply.Segments {
		if i > 0 {
			l.retireHead()
		}
		l.head = segment{number: stored.Number}
		if err := l.updateHead(stored); err != nil {
			l.reset()
			return err
		}
	}
	l.loaded = true
	if !l.head.sealed {
		l.markEndRead()
	}
	return nil
}

// updateHead replaces the contents of the head by the stored ones and replays the entries that are new.
func (l *Log) updateHead(stored StoredSegment) error {
	seg, err := Decode(stored.Value)
	if err != nil {
		return err
	}
	replayed := len(l.head.entries)
	if replayed > len(seg.Entries) {
		replayed = 0
	}
	l.head.version, l.head.sealed, l.head.entries = stored.Version, seg.Sealed, seg.Entries
	l.replay(seg.Entries[replayed:])
	return nil
}

// continuesHead reports whether the stored segment is the known head with further entries. The delayed creation of a
// segment may take effect after that segment was filled and deleted. The segment that it creates stays empty, because no
// writer appends to it, so a stored segment that begins with the known entries and is not empty is the known head.
func (l *Log) continuesHead(stored StoredSegment) (bool, error) {
	seg, err := Decode(stored.Value)
	if err != nil {
		return false, err
	}
	known := l.head.entries
	return len(seg.Entries) > 0 && len(seg.Entries) >= len(known) && slices.Equal(seg.Entries[:len(known)], known), nil
}

// replay applies the entries, which are new in the head, to the active claims.
func (l *Log) replay(entries []Entry) {
	for _, e := range entries {
		if t := e.Time(); t.After(l.head.lastTime) {
			l.head.lastTime = t
		}
		if !e.Release {
			l.active[e.Hash] = e
		} else if l.active[e.Hash].Attempt() == e.Attempt() {
			delete(l.active, e.Hash)
		}
	}
}

// markEndRead records that the end of the log is known as of now.
func (l *Log) markEndRead() {
	l.endReadSinceWrite = true
	for _, op := range l.open {
		op.endRead = true
	}
}

// handleRereadHead applies the head as read again. If it is missing or not the known head, the segments are listed again.
func (l *Log) handleRereadHead(reply Reply) error {
	switch reply.Status {
	case Missing, Conflict:
		l.reset()
	case OK:
		stored := reply.Segments[0]
		if stored.Version == l.head.version {
			l.contended = l.contended && l.headUncertain
			l.headUncertain = false
			l.markEndRead()
			return nil
		}
		continuesHead, err := l.continuesHead(stored)
		if err != nil {
			return err
		}
		if !continuesHead {
			l.reset()
			return nil
		}
		l.headUncertain, l.inDoubt = false, nil
		if err := l.updateHead(stored); err != nil {
			return err
		}
		if !l.head.sealed {
			l.markEndRead()
		}
	}
	return nil
}

// handleReadNext advances to the segment after the sealed head if it exists.
func (l *Log) handleReadNext(reply Reply) error {
	switch reply.Status {
	case OK:
		return l.advanceHead(reply.Segments[0])
	case Missing, Conflict:
		l.nextAbsent = true
		l.markEndRead()
	}
	return nil
}

// advanceHead makes the segment after the sealed head the new head, to be verified by reading the sealed one again. The
// first segment has no segment before it, so the whole shard is listed instead.
func (l *Log) advanceHead(stored StoredSegment) error {
	sealedHead := l.head
	if sealedHead.number == 0 {
		l.reset()
		return nil
	}
	seg, err := Decode(stored.Value)
	if err != nil {
		return err
	}
	l.retireHead()
	l.head = segment{number: stored.Number, version: stored.Version, sealed: seg.Sealed, entries: seg.Entries}
	l.replay(seg.Entries)
	l.prevVersion, l.nextAbsent, l.inDoubt = sealedHead.version, false, nil
	return nil
}

// retireHead moves the head to the earlier segments.
func (l *Log) retireHead() {
	l.head.entries = nil
	l.earlier = append(l.earlier, l.head)
}

// handleVerifyPrevious applies the second read of the segment before the head. If the segment is missing or has another
// version, segments were deleted meanwhile and the head may have been created again under an old number.
func (l *Log) handleVerifyPrevious(step Step, reply Reply) {
	switch {
	case reply.Status == Unknown:
	case reply.Status == OK && reply.Segments[0].Version == step.Version:
		l.prevVersion = 0
		if !l.head.sealed {
			l.markEndRead()
		}
	default:
		l.reset()
	}
}

// handleAppend decides the operations of a write that took effect. After any other result the head must be read again.
func (l *Log) handleAppend(step Step, reply Reply) {
	switch reply.Status {
	case OK:
		l.head.entries = append(l.head.entries, step.entries...)
		l.head.version, l.head.sealed = reply.Version, step.sealed
		l.replay(step.entries)
		l.inDoubt, l.pruneCheckDue = nil, true
		l.markEndRead()
		for _, op := range step.ops {
			op.Outcome = Granted
			if op.Release {
				op.Outcome = Released
			}
		}
		l.removeDecided()
	case Conflict, Missing:
		l.headUncertain, l.contended = true, true
	case Unknown:
		l.headUncertain = true
		for _, op := range step.ops {
			if !slices.Contains(l.inDoubt, op) {
				l.inDoubt = append(l.inDoubt, op)
			}
		}
	}
	l.endReadSinceWrite = false
}

// handleCreate makes the created segment the head, to be verified like one that another writer created.
func (l *Log) handleCreate(step Step, reply Reply) {
	l.nextAbsent = false // the segment is read again unless this call created it
	switch {
	case reply.Status != OK:
	case l.head.number == 0:
		l.reset()
	default:
		l.prevVersion = l.head.version
		l.retireHead()
		l.head = segment{number: step.Number, version: reply.Version}
	}
}

// handleDelete removes the first segment from the local copy once it is deleted in the store, and the expired claims with
// it. A conflict means that the number was reused after another writer deleted the segment, so it counts as deleted too.
func (l *Log) handleDelete(now time.Time, reply Reply) {
	if reply.Status == Unknown {
		return
	}
	l.earlier = l.earlier[1:]
	for hash, e := range l.active {
		if l.expired(now, e.Time()) {
			delete(l.active, hash)
		}
	}
}
