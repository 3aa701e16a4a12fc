package cmds

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/io/claims"
	"wagtailhoist/io/front"
	"wagtailhoist/io/peers"
	"wagtailhoist/io/queue"
	"wagtailhoist/io/store"
)

const (
	// resizeEvery is the interval at which the places for requests follow the slots of the agents.
	resizeEvery = time.Second
	// leastPlaces lets an entry with few or uneven requests use slots that the others leave free.
	leastPlaces = 16
	// storeConnections is the number of connections to the store that are kept between calls;
	// the default of net/http, 2, makes most claims of a burst open a new one.
	storeConnections = 32
	// claimsLimit bounds the time in which claims of refused requests are released at a stop.
	claimsLimit = 3 * time.Second
)

func newMembers(self *entrySelf) *peers.Members {
	s := self.settings.Self
	return &peers.Members{
		Table: member.Table{Region: s.Region, Centre: s.Centre},
		Relay: member.Relay{Address: s.Address},
	}
}

// newStore returns the client that the parts of an entry share, nil for an entry without a store.
func newStore(c *entryCmd) *store.Client {
	if c.Store == "" {
		return nil
	}
	return &store.Client{URL: c.Store, HTTP: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: storeConnections, IdleConnTimeout: time.Minute,
	}}}
}

func newPeers(c *entryCmd, self *entrySelf, m *peers.Members, s *store.Client, log *slog.Logger) *peers.Peers {
	p := &peers.Peers{Settings: self.settings, Members: m, Join: c.Join, Log: log}
	if s != nil {
		p.Store = s
	}
	return p
}

// newClaims returns nil for an entry without a store.
func newClaims(s *store.Client) *claims.Writer {
	if s == nil {
		return nil
	}
	return &claims.Writer{Store: s}
}

func claimer(w *claims.Writer) front.Claimer {
	if w == nil {
		return front.NoClaims{}
	}
	return w
}

func closeClaims(ctx context.Context, w *claims.Writer) {
	if w == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimsLimit)
	defer cancel()
	w.Close(ctx)
}

func newGate() *queue.Gate { return new(queue.Gate) }

const (
	// claimWrites is the number of writes a second that all entries together make for claims. The
	// store takes several hundred; the rest is left to configuration, plans and leases.
	claimWrites = 200
	// leastWrites keeps the wait of a claim below a second with many entries.
	leastWrites = 20
)

// shareWrites divides the writes for claims among the linked entries.
func shareWrites(w *claims.Writer, p *peers.Peers) {
	if w != nil {
		w.SetWrites(max(leastWrites, claimWrites/(p.Links()+1)))
	}
}

// places returns the entry's share of the region's slots, 0 while no agent is known.
func places(now time.Time, m *peers.Members, p *peers.Peers) int {
	slots := m.Slots(now)
	if slots == 0 {
		return 0
	}
	n := p.Entries()
	return max(leastPlaces, (slots+n-1)/n)
}
