package peers

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

const (
	// maxName bounds identifiers, regions, data centres and services in bytes; settings allow 63.
	maxName = 128
	// maxAddress bounds an address in bytes: an IPv6 address with a zone, and a port.
	maxAddress = 80
	// maxAhead is how far an incarnation may lie in the future; it exceeds the assumed
	// difference of the VMs' clocks of 60 s. A record with a later one could not be replaced
	// by a restart of its agent.
	maxAhead = 2 * time.Minute
	// maxSlots bounds the slots and running requests of a minion, so that sums stay whole.
	maxSlots = 1 << 16
	// maxRecords bounds the table: twice the target of 30,000 endpoints and a few more.
	maxRecords = 1 << 16
	// maxEntries bounds the entries that another entry may name; the target has a few dozen.
	maxEntries = 1024
	// agentRate and agentBurst bound the announcements that one agent may make a second. It
	// makes one, and one more at each change of its state or revision.
	agentRate  = 20
	agentBurst = 100
)

// RecordError reports a record that was refused.
type RecordError struct {
	ID     model.NodeID
	Field  string
	Reason string
}

// Error describes the record; the identifier is an outside value and is shortened.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record of %.64q refused: %s %s", string(e.ID), e.Field, e.Reason)
}

// check returns a RecordError for a record that the sender may not announce, or whose values
// no process of the system has.
func check(now time.Time, peer link.Hello, r model.Record) error {
	fail := func(field, reason string) error { return &RecordError{r.ID, field, reason} }
	switch {
	case r.ID == "" || len(r.ID) > maxName:
		return fail("identifier", "is empty or too long")
	case peer.Role != link.RoleEntry && r.ID != peer.Node:
		return fail("identifier", "is not the sender's")
	case r.Region != peer.Region:
		return fail("region", "is not the sender's")
	case len(r.Region) > maxName || len(r.Centre) > maxName || len(r.Service) > maxName:
		return fail("name", "is too long")
	case r.Incarnation == 0 || r.Incarnation > model.NewIncarnation(now.Add(maxAhead)):
		return fail("incarnation", "is zero or in the future")
	case r.State > model.Down:
		return fail("state", "is unknown")
	case r.Load.Slots < 0 || r.Load.Slots > maxSlots || r.Load.Running < 0 || r.Load.Running > maxSlots:
		return fail("load", "is out of range")
	case !address(r.Address):
		return fail("address", "is not IP:port")
	}
	return nil
}

// address reports whether a is IP:port.
func address(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || len(a) > maxAddress || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// sound returns the records that may be merged, and counts the others.
func (p *Peers) sound(now time.Time, peer link.Hello, records []model.Record) []model.Record {
	out := make([]model.Record, 0, len(records))
	for _, r := range records {
		if err := check(now, peer, r); err != nil {
			p.refuse(peer, err, 1)
			continue
		}
		out = append(out, r)
	}
	return out
}

// refuse counts refused records. They are logged at the lowest level, since a hostile
// sender decides how many there are.
func (p *Peers) refuse(peer link.Hello, err error, n int) {
	if n == 0 {
		return
	}
	if c := p.Settings.Counters; c != nil {
		c.Records.Add(uint64(n))
	}
	p.Log.Debug("records refused", "sender", peer.Node, "records", n, "error", err)
}

// quota bounds the announcements of one agent's link.
type quota struct {
	level float64
	last  time.Time
}

// take reports whether an announcement may be taken at now.
func (q *quota) take(now time.Time) bool {
	if q.last.IsZero() {
		q.level = agentBurst
	}
	q.level = min(agentBurst, q.level+now.Sub(q.last).Seconds()*agentRate)
	q.last = now
	if q.level < 1 {
		return false
	}
	q.level--
	return true
}
