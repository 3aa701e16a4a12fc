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
	// watchTTL is the time to live of the key of a region's watch.
	watchTTL = 3 * time.Second
	// renewInterval leaves two tries within the time to live.
	renewInterval = time.Second
	// claimInterval is how often a process looks whether its region's watch is free. A holder
	// that stops is replaced after at most watchTTL + 1.5 times this, which leaves half of the
	// bound of 8 s for the distribution.
	claimInterval = time.Second
	// pollInterval is how often the holder of the watch reads the configuration as well: a
	// connection can go silent, and a silent watch ends only after 12 s.
	pollInterval = 2 * time.Second
	// staleAge is the age of the last contact with the store from which a process that does
	// not hold the watch reads the configuration itself.
	staleAge = 5 * time.Second
	// retryInterval is the pause after a failed call and the least time between two reads.
	retryInterval = time.Second
)

// latest reads the configuration record; the zero record stands for none.
func latest(ctx context.Context, s Store) (config.Record, uint64, error) {
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

// read takes the store's latest revision.
func (m *Manager) read(ctx context.Context) error {
	asked := time.Now()
	record, _, err := latest(ctx, m.opts.Store)
	if err != nil {
		return err
	}
	m.stored(asked, record.Copy)
	return nil
}

// stored reports what the store answered to a call that began at asked.
func (m *Manager) stored(asked time.Time, c config.Copy) {
	m.step(func(now time.Time) []config.Effect { return m.state.Store(asked, now, c) })
}

// wantRead asks the read loop for a read, because a new peer waits for a confirmation.
func (m *Manager) wantRead() {
	select {
	case m.refresh <- struct{}{}:
	default:
	}
}

// readLoop reads the configuration at the start, for new peers, and whenever the last contact
// with the store is too old.
func (m *Manager) readLoop(ctx context.Context) {
	ticker := time.NewTicker(retryInterval / 2)
	defer ticker.Stop()
	for due := true; ; {
		if due {
			if err := m.read(ctx); err != nil && ctx.Err() == nil {
				m.opts.Log.Debug("store can't be read", "error", err)
			}
			if !pause(ctx, retryInterval/2) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-m.refresh:
			due = true
		case <-ticker.C:
			due = m.age() > m.maxAge()
		}
	}
}

func (m *Manager) age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	contact, ok := m.state.Contact()
	if !ok {
		return staleAge + 1
	}
	return time.Since(contact)
}

func (m *Manager) maxAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.Holds() != "" {
		return pollInterval
	}
	return staleAge
}

// watchLoop takes the region's watch whenever it is free, and follows the store while it holds it.
func (m *Manager) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		watched := m.state.Watched(m.opts.Region)
		m.mu.Unlock()
		if !watched {
			if lease, sent, ok := m.claim(ctx); ok {
				m.hold(ctx, lease, sent)
				continue
			}
		}
		// The jitter keeps the processes of a region from claiming at the same moment.
		if !pause(ctx, claimInterval/2+rand.N(claimInterval)) {
			return
		}
	}
}

// claim takes the key of the region's watch if no process has it. The lease is counted from
// the time at which it was asked for.
func (m *Manager) claim(ctx context.Context) (uint64, time.Time, bool) {
	s, key := m.opts.Store, "watch/"+string(m.opts.Region)
	var missing *store.NotFoundError
	if _, err := s.Get(ctx, key); !errors.As(err, &missing) {
		return 0, time.Time{}, false
	}
	sent := time.Now()
	lease, err := s.Grant(ctx, watchTTL)
	if err != nil {
		return 0, time.Time{}, false
	}
	if _, err := s.Put(ctx, key, []byte(m.opts.ID), 0, lease); err != nil {
		// Whatever the effect was, the key ends with the lease.
		_ = s.Revoke(ctx, lease)
		return 0, time.Time{}, false
	}
	return lease, sent, true
}

// hold follows the store until the lease may have ended by the clock of this process.
func (m *Manager) hold(ctx context.Context, lease uint64, sent time.Time) {
	m.setWatch(m.opts.Region)
	defer m.setWatch("")
	m.opts.Log.Info("watching the store", "region", m.opts.Region)
	ctx, cancel := context.WithCancel(ctx)
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		m.follow(ctx)
	}()
	m.renew(ctx, lease, sent)
	cancel()
	<-followed
	ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), retryInterval)
	defer cancel()
	_ = m.opts.Store.Revoke(ctx, lease)
	m.opts.Log.Info("stopped watching the store", "region", m.opts.Region)
}

func (m *Manager) setWatch(region model.Region) {
	m.step(func(now time.Time) []config.Effect {
		m.state.Watch(region)
		return m.state.Tick(now)
	})
}

func (m *Manager) renew(ctx context.Context, lease uint64, sent time.Time) {
	for pause(ctx, renewInterval) {
		left := time.Until(sent.Add(watchTTL))
		if left <= 0 {
			return
		}
		asked := time.Now()
		call, cancel := context.WithTimeout(ctx, min(left, renewInterval))
		err := m.opts.Store.Renew(call, lease)
		cancel()
		var ended *store.LeaseError
		switch {
		case err == nil:
			sent = asked
		case errors.As(err, &ended):
			return
		}
	}
}

// follow passes on each change of the configuration as the store reports it.
func (m *Manager) follow(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		items, after, err := m.opts.Store.List(ctx, config.Key)
		for err == nil {
			err = m.take(asked, items)
			if err == nil {
				asked = time.Now()
				items, after, err = m.opts.Store.Watch(ctx, config.Key, after)
			}
		}
		if ctx.Err() == nil {
			m.opts.Log.Debug("watch of the store broke", "error", err)
		}
		pause(ctx, retryInterval)
	}
}

// take passes on the configuration if it is among the items.
func (m *Manager) take(asked time.Time, items []store.Item) error {
	for _, item := range items {
		if item.Key != config.Key || item.Version == 0 {
			continue
		}
		record, err := config.Decode(item.Value)
		if err != nil {
			return err
		}
		m.stored(asked, record.Copy)
	}
	return nil
}

// pause waits and reports whether ctx still holds.
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
