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
	// maxNameBytes bounds identifiers, regions, data centres and services; settings allow 63 bytes.
	maxNameBytes = 128
	// maxAddressBytes bounds an address: an IPv6 address with a zone, and a port.
	maxAddressBytes = 80
	// maxClockAhead is how far an incarnation may lie in the future. It exceeds the assumed clock difference
	// between VMs of 60 s. A record with a later incarnation could not be replaced when its agent restarts.
	maxClockAhead = 2 * time.Minute
	// maxSlots bounds the slots and running requests of a minion, so that sums over all minions do not
	// overflow.
	maxSlots = 1 << 16
	// maxRecords bounds the membership table to about twice the target of 30,000 endpoints.
	maxRecords = 1 << 16
	// maxEntries bounds the entries learned from other entries; the target is a few dozen.
	maxEntries = 1024
	// agentAnnouncementsPerSecond and agentAnnouncementBurst bound the announcements of one agent. An agent
	// announces once a second, and once more at each change of its state or configuration revision.
	agentAnnouncementsPerSecond = 20
	agentAnnouncementBurst      = 100
)

// RecordError reports a refused membership record.
type RecordError struct {
	ID     model.NodeID
	Field  string
	Reason string
}

// Error returns the record's identifier and the reason. The identifier comes from another process and is
// truncated.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record of %.64q refused: %s %s", string(e.ID), e.Field, e.Reason)
}

// checkRecord returns a RecordError if the sender may not announce the record, or if a value is out of the
// range that a working process uses.
func checkRecord(now time.Time, peer link.Hello, r model.Record) error {
	fail := func(field, reason string) error { return &RecordError{r.ID, field, reason} }
	switch {
	case r.ID == "" || len(r.ID) > maxNameBytes:
		return fail("identifier", "is empty or too long")
	case peer.Role != link.RoleEntry && r.ID != peer.Node:
		return fail("identifier", "is not the sender's")
	case r.Region != peer.Region:
		return fail("region", "is not the sender's")
	case len(r.Region) > maxNameBytes || len(r.Centre) > maxNameBytes || len(r.Service) > maxNameBytes:
		return fail("name", "is too long")
	case r.Incarnation == 0 || r.Incarnation > model.NewIncarnation(now.Add(maxClockAhead)):
		return fail("incarnation", "is zero or in the future")
	case r.State > model.Down:
		return fail("state", "is unknown")
	case r.Load.Slots < 0 || r.Load.Slots > maxSlots || r.Load.Running < 0 || r.Load.Running > maxSlots:
		return fail("load", "is out of range")
	case !isIPPort(r.Address):
		return fail("address", "is not IP:port")
	}
	return nil
}

// isIPPort reports whether hostPort is IP:port with a port above 0.
func isIPPort(hostPort string) bool {
	host, port, err := net.SplitHostPort(hostPort)
	if err != nil || len(hostPort) > maxAddressBytes || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// validRecords returns the records that may be merged, and counts the others as refused.
func (p *Peers) validRecords(now time.Time, peer link.Hello, records []model.Record) []model.Record {
	out := make([]model.Record, 0, len(records))
	for _, r := range records {
		if err := checkRecord(now, peer, r); err != nil {
			p.countRefused(peer, err, 1)
			continue
		}
		out = append(out, r)
	}
	return out
}

// countRefused counts n refused records and logs them. The log level is the lowest, since a hostile sender
// determines how many there are.
func (p *Peers) countRefused(peer link.Hello, err error, n int) {
	if n == 0 {
		return
	}
	if c := p.Settings.Counters; c != nil {
		c.RefusedRecords.Add(uint64(n))
	}
	p.Log.Debug("refused membership records", "sender", peer.Node, "records", n, "error", err)
}

// announcementLimiter is a token bucket for the announcements of one agent's link.
type announcementLimiter struct {
	tokens     float64
	refilledAt time.Time
}

// allow reports whether an announcement is within the rate at now, and uses up a token if so.
func (q *announcementLimiter) allow(now time.Time) bool {
	if q.refilledAt.IsZero() {
		q.tokens = agentAnnouncementBurst
	}
	q.tokens = min(agentAnnouncementBurst, q.tokens+now.Sub(q.refilledAt).Seconds()*agentAnnouncementsPerSecond)
	q.refilledAt = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}
