package claim

import (
	"slices"
	"time"
)

// Done takes the reply to a step. The error reports a stored value that can't be decoded;
// the log then decides nothing until the value is repaired.
func (l *Log) Done(now time.Time, step Step, reply Reply) error {
	if step.Call == List {
		return l.load(reply)
	}
	switch step.purpose {
	case refresh:
		return l.refreshed(reply)
	case follow:
		return l.followed(reply)
	case verify:
		l.verified(step, reply)
	case appends:
		l.appended(step, reply)
	case create:
		l.created(step, reply)
	case prune:
		l.pruned(now, reply)
	}
	return nil
}

// reset forgets the segments; the next step lists them.
func (l *Log) reset() {
	l.loaded, l.doubt, l.absent, l.previous = false, false, false, 0
	l.head, l.tail, l.inDoubt = segment{}, nil, nil
	clear(l.active)
}

func (l *Log) load(reply Reply) error {
	if reply.Status != OK {
		return nil
	}
	l.reset()
	l.active = map[Hash]Entry{}
	if len(reply.Segments) == 0 {
		// An empty shard counts as a log whose segment 0 is sealed.
		l.head = segment{sealed: true}
		l.loaded, l.absent = true, true
		l.fresh()
		return nil
	}
	for i, stored := range reply.Segments {
		if i > 0 {
			l.retire()
		}
		l.head = segment{number: stored.Number}
		if err := l.take(stored); err != nil {
			l.reset()
			return err
		}
	}
	l.loaded = true
	if !l.head.sealed {
		l.fresh()
	}
	return nil
}

// take replaces the head's contents by the stored ones and replays the lines that are new.
func (l *Log) take(stored Stored) error {
	seg, err := Decode(stored.Value)
	if err != nil {
		return err
	}
	known := len(l.head.entries)
	if known > len(seg.Entries) {
		known = 0
	}
	l.head.version, l.head.sealed, l.head.entries = stored.Version, seg.Sealed, seg.Entries
	l.replay(seg.Entries[known:])
	return nil
}

// grown reports whether the stored segment continues the known head. A late creation may
// bring back the number of a deleted segment; such a segment is empty, and nobody appends to
// it, so a changed head that holds entries is the known one.
func (l *Log) grown(stored Stored) (bool, error) {
	seg, err := Decode(stored.Value)
	if err != nil {
		return false, err
	}
	known := l.head.entries
	return len(seg.Entries) > 0 && len(seg.Entries) >= len(known) && slices.Equal(seg.Entries[:len(known)], known), nil
}

func (l *Log) replay(entries []Entry) {
	for _, e := range entries {
		if t := e.Time(); t.After(l.head.last) {
			l.head.last = t
		}
		if !e.Release {
			l.active[e.Hash] = e
		} else if l.active[e.Hash].Attempt() == e.Attempt() {
			delete(l.active, e.Hash)
		}
	}
}

// fresh notes that the end of the log is known as of now.
func (l *Log) fresh() {
	l.current = true
	for _, op := range l.open {
		op.seen = true
	}
}

func (l *Log) refreshed(reply Reply) error {
	switch reply.Status {
	case Missing, Conflict:
		l.reset()
	case OK:
		stored := reply.Segments[0]
		if stored.Version == l.head.version {
			l.contended = l.contended && l.doubt
			l.doubt = false
			l.fresh()
			return nil
		}
		grown, err := l.grown(stored)
		if err != nil {
			return err
		}
		if !grown {
			l.reset()
			return nil
		}
		l.doubt, l.inDoubt = false, nil
		if err := l.take(stored); err != nil {
			return err
		}
		if !l.head.sealed {
			l.fresh()
		}
	}
	return nil
}

func (l *Log) followed(reply Reply) error {
	switch reply.Status {
	case OK:
		return l.move(reply.Segments[0])
	case Missing, Conflict:
		l.absent = true
		l.fresh()
	}
	return nil
}

// move makes the segment after the sealed head the new head, to be verified. There is none
// before the first segment to verify it by, so the whole shard is listed instead.
func (l *Log) move(stored Stored) error {
	last := l.head
	if last.number == 0 {
		l.reset()
		return nil
	}
	seg, err := Decode(stored.Value)
	if err != nil {
		return err
	}
	l.retire()
	l.head = segment{number: stored.Number, version: stored.Version, sealed: seg.Sealed, entries: seg.Entries}
	l.replay(seg.Entries)
	l.previous, l.absent, l.inDoubt = last.version, false, nil
	return nil
}

// retire moves the head to the tail.
func (l *Log) retire() {
	l.head.entries = nil
	l.tail = append(l.tail, l.head)
}

// verified takes the second read of the segment before the head. Another version, or none,
// means that segments were deleted since and that the head may be a new one under an old number.
func (l *Log) verified(step Step, reply Reply) {
	switch {
	case reply.Status == Unknown:
	case reply.Status == OK && reply.Segments[0].Version == step.Version:
		l.previous = 0
		if !l.head.sealed {
			l.fresh()
		}
	default:
		l.reset()
	}
}

func (l *Log) appended(step Step, reply Reply) {
	switch reply.Status {
	case OK:
		l.head.entries = append(l.head.entries, step.entries...)
		l.head.version, l.head.sealed = reply.Version, step.sealed
		l.replay(step.entries)
		l.inDoubt, l.sweep = nil, true
		l.fresh()
		for _, op := range step.ops {
			op.Verdict = Granted
			if op.Release {
				op.Verdict = Released
			}
		}
		l.drop()
	case Conflict, Missing:
		l.doubt, l.contended = true, true
	case Unknown:
		l.doubt = true
		for _, op := range step.ops {
			if !slices.Contains(l.inDoubt, op) {
				l.inDoubt = append(l.inDoubt, op)
			}
		}
	}
	l.current = false
}

func (l *Log) created(step Step, reply Reply) {
	l.absent = false // read the segment again unless it is known to be new
	switch {
	case reply.Status != OK:
	case l.head.number == 0:
		l.reset()
	default:
		l.previous = l.head.version
		l.retire()
		l.head = segment{number: step.Number, version: reply.Version}
	}
}

// pruned drops the first segment once the store has it no longer. A conflict means that the
// number was used again after the deletion, so the known segment is gone as well.
func (l *Log) pruned(now time.Time, reply Reply) {
	if reply.Status == Unknown {
		return
	}
	l.tail = l.tail[1:]
	for hash, e := range l.active {
		if l.expired(now, e.Time()) {
			delete(l.active, hash)
		}
	}
}
