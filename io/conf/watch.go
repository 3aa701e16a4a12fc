package conf

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"wagtailhoist/core/config"
	"wagtailhoist/core/model"
	"wagtailhoist/io/store"
)

const (
	// watchTTL is the time to live of the lease on the watch of a region. One process per region watches the store.
	watchTTL = 3 * time.Second
	// renewInterval leaves time for two renewals within watchTTL.
	renewInterval = time.Second
	// acquireInterval is how often a process checks whether the watch of its region is free. A holder that stops is
	// replaced after at most watchTTL + 1.5 * acquireInterval. Of the 8 s in which a change has to reach all processes,
	// this leaves about half for the distribution.
	acquireInterval = time.Second
	// pollInterval is how often the holder of the watch also reads the configuration. A connection may stop delivering
	// answers without an error, and the watch call then times out only after 12 s.
	pollInterval = 2 * time.Second
	// staleContactAge is the time since the last contact with the store after which a process that does not hold the watch
	// reads the configuration itself.
	staleContactAge = 5 * time.Second
	// retryInterval is the pause after a failed call and the minimum time between two reads.
	retryInterval = time.Second
)

// readRecord reads the configuration record and its version; it returns the zero record if there is none.
func readRecord(ctx context.Context, s Store) (config.Record, uint64, error) {
	item, err := s.Get(ctx, config.Key)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return config.Record{}, 0, nil
	}
	if err != nil {
		return config.Record{}, 0, err
	}
	record, err := config.Decode(item.Value)
	return record, item.Version, err
}

// readStore reads the record and applies its revision to the state.
func (m *Manager) readStore(ctx context.Context) error {
	requestedAt := time.Now()
	record, _, err := readRecord(ctx, m.opts.Store)
	if err != nil {
		return err
	}
	m.recordStoreAnswer(requestedAt, record.Snapshot)
	return nil
}

// recordStoreAnswer applies to the state what the store answered to a call that was sent at requestedAt.
func (m *Manager) recordStoreAnswer(requestedAt time.Time, c config.Snapshot) {
	m.update(func(now time.Time) []config.Effect { return m.state.Store(requestedAt, now, c) })
}

// requestRead wakes readLoop, because a new peer waits for a revision that the store has confirmed.
func (m *Manager) requestRead() {
	select {
	case m.readRequests <- struct{}{}:
	default:
	}
}

// readLoop reads the configuration at the start, on requestRead, and whenever the last contact with the store is longer ago
// than maxContactAge.
func (m *Manager) readLoop(ctx context.Context) {
	ticker := time.NewTicker(retryInterval / 2)
	defer ticker.Stop()
	for readDue := true; ; {
		if readDue {
			if err := m.readStore(ctx); err != nil && ctx.Err() == nil {
				m.opts.Log.Debug("reading the configuration from the store failed; it is tried again", "error", err)
			}
			if !pause(ctx, retryInterval/2) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-m.readRequests:
			readDue = true
		case <-ticker.C:
			readDue = m.contactAge() > m.maxContactAge()
		}
	}
}

// contactAge returns the time since the last contact with the store.
func (m *Manager) contactAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	contact, ok := m.state.StoreContact()
	if !ok {
		return staleContactAge + 1
	}
	return time.Since(contact)
}

// maxContactAge returns the contact age from which this process reads the store.
func (m *Manager) maxContactAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.WatchedRegion() != "" {
		return pollInterval
	}
	return staleContactAge
}

// watchLoop acquires the watch of the region whenever it is free, and watches the store while it holds the lease.
func (m *Manager) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		watched := m.state.PeerWatches(m.opts.Region)
		m.mu.Unlock()
		if !watched {
			if lease, leaseStart, ok := m.acquireWatch(ctx); ok {
				m.holdWatch(ctx, lease, leaseStart)
				continue
			}
		}
		// The jitter keeps the processes of a region from trying at the same moment.
		if !pause(ctx, acquireInterval/2+rand.N(acquireInterval)) {
			return
		}
	}
}

// acquireWatch creates the key of the region's watch under a new lease, unless another process holds it. It returns the
// lease and the time at which the lease was requested, from which its time to live is counted.
func (m *Manager) acquireWatch(ctx context.Context) (uint64, time.Time, bool) {
	s, key := m.opts.Store, "watch/"+string(m.opts.Region)
	var missing *store.NotFoundError
	if _, err := s.Get(ctx, key); !errors.As(err, &missing) {
		return 0, time.Time{}, false
	}
	leaseStart := time.Now()
	lease, err := s.Grant(ctx, watchTTL)
	if err != nil {
		return 0, time.Time{}, false
	}
	if _, err := s.Put(ctx, key, []byte(m.opts.ID), 0, lease); err != nil {
		// If the put took effect although it failed, the key is deleted with the lease.
		_ = s.Revoke(ctx, lease)
		return 0, time.Time{}, false
	}
	return lease, leaseStart, true
}

// holdWatch watches the store until the lease ends, or may have ended by the clock of this process. It then revokes the
// lease.
func (m *Manager) holdWatch(ctx context.Context, lease uint64, leaseStart time.Time) {
	m.setWatch(m.opts.Region)
	defer m.setWatch("")
	m.opts.Log.Info("acquired the watch of the region, now watching the store", "region", m.opts.Region)
	ctx, cancel := context.WithCancel(ctx)
	followEnded := make(chan struct{})
	go func() {
		defer close(followEnded)
		m.followStore(ctx)
	}()
	m.renewLease(ctx, lease, leaseStart)
	cancel()
	<-followEnded
	ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), retryInterval)
	defer cancel()
	_ = m.opts.Store.Revoke(ctx, lease)
	m.opts.Log.Info("stopped watching the store", "region", m.opts.Region)
}

// setWatch records the region whose watch this process holds, and announces it to the peers.
func (m *Manager) setWatch(region model.Region) {
	m.update(func(now time.Time) []config.Effect {
		m.state.SetWatch(region)
		return m.state.Tick(now)
	})
}

// renewLease renews the lease until it has ended, its time to live has passed since leaseStart, or ctx is done.
func (m *Manager) renewLease(ctx context.Context, lease uint64, leaseStart time.Time) {
	for pause(ctx, renewInterval) {
		remaining := time.Until(leaseStart.Add(watchTTL))
		if remaining <= 0 {
			return
		}
		requestedAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, min(remaining, renewInterval))
		err := m.opts.Store.Renew(callCtx, lease)
		cancel()
		var leaseEnded *store.LeaseError
		switch {
		case err == nil:
			leaseStart = requestedAt
		case errors.As(err, &leaseEnded):
			return
		}
	}
}

// followStore lists the configuration and then applies each change that the watch reports. After an error it lists again.
func (m *Manager) followStore(ctx context.Context) {
	for ctx.Err() == nil {
		requestedAt := time.Now()
		items, revision, err := m.opts.Store.List(ctx, config.Key)
		for err == nil {
			err = m.handleItems(requestedAt, items)
			if err == nil {
				requestedAt = time.Now()
				items, revision, err = m.opts.Store.Watch(ctx, config.Key, revision)
			}
		}
		if ctx.Err() == nil {
			m.opts.Log.Debug("watch of the configuration in the store failed; listing again", "error", err)
		}
		pause(ctx, retryInterval)
	}
}

// handleItems applies the configuration record to the state if it is among the items.
func (m *Manager) handleItems(requestedAt time.Time, items []store.Item) error {
	for _, item := range items {
		if item.Key != config.Key || item.Version == 0 {
			continue
		}
		record, err := config.Decode(item.Value)
		if err != nil {
			return err
		}
		m.recordStoreAnswer(requestedAt, record.Snapshot)
	}
	return nil
}

// pause waits for d. It returns false if ctx is done first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
