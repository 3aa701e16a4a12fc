package cmds

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/core/route"
	"wagtailhoist/io/claims"
	"wagtailhoist/io/front"
	"wagtailhoist/io/peers"
	"wagtailhoist/io/queue"
	"wagtailhoist/io/store"
)

const (
	// resizeInterval is how often the concurrency limit and the claim rate are adjusted to the agents and entries.
	resizeInterval = time.Second
	// minConcurrency lets an entry use slots that other entries leave free, also if its share is small.
	minConcurrency = 16
	// storeConnections is the number of idle connections to the store; with the default of net/http,
	// 2, most claims of a burst would open a new connection.
	storeConnections = 32
	// claimsCloseTimeout bounds the time for releasing the claims of refused requests when the process stops.
	claimsCloseTimeout = 3 * time.Second
)

func newMembers(self *entrySelf) *peers.Members {
	s := self.settings.Self
	return &peers.Members{
		Table:  member.Table{Region: s.Region, Centre: s.Centre},
		Router: route.Router{AwaitEvacuated: true},
		Relay:  member.Relay{Address: s.Address},
	}
}

// newStore returns the store client of an entry, or nil for an entry without a store.
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

// newClaims returns the claims writer of an entry, or nil for an entry without a store.
func newClaims(s *store.Client) *claims.Writer {
	if s == nil {
		return nil
	}
	return &claims.Writer{Store: s}
}

// newClaimer returns w, or a claimer that refuses requests with a key if w is nil.
func newClaimer(w *claims.Writer) front.Claimer {
	if w == nil {
		return front.NoClaims{}
	}
	return w
}

// closeClaims closes the claims writer, which may be nil. It waits for pending operations for at most
// claimsCloseTimeout.
func closeClaims(ctx context.Context, w *claims.Writer) {
	if w == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimsCloseTimeout)
	defer cancel()
	w.Close(ctx)
}

func newGate() *queue.Gate { return new(queue.Gate) }

const (
	// claimWritesPerSecond is the number of store writes a second that all entries together make for claims. The
	// store sustains several hundred; the rest is left to configuration, plans and leases.
	claimWritesPerSecond = 200
	// minClaimWritesPerSecond keeps the wait of a claim below a second when there are many entries.
	minClaimWritesPerSecond = 20
)

// divideClaimWrites sets the write rate of this entry to its share of claimWritesPerSecond.
func divideClaimWrites(w *claims.Writer, p *peers.Peers) {
	if w != nil {
		w.SetWritesPerSecond(max(minClaimWritesPerSecond, claimWritesPerSecond/(p.LinkedEntries()+1)))
	}
}

// concurrencyLimit returns how many requests this entry may have in progress: its share of the region's slots, at
// least minConcurrency, or 0 while no agent is known.
func concurrencyLimit(now time.Time, m *peers.Members, p *peers.Peers) int {
	slots := m.Slots(now)
	if slots == 0 {
		return 0
	}
	n := p.Entries()
	return max(minConcurrency, (slots+n-1)/n)
}
