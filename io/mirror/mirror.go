package mirror

import (
	"context"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/store"
)

// LeadPrefix holds the keys that tell who runs the system: the owner and the entries.
const LeadPrefix = batch.Root + "lead/"

// OwnerKey holds the EntryInfo of the present owner, under its lease.
const OwnerKey = LeadPrefix + "owner"

// EntryPrefix holds the EntryInfo of each entry, under its lease.
const EntryPrefix = LeadPrefix + "entry/"

// EntryInfo is the identity of an entry.
type EntryInfo struct {
	ID string `cbor:"1,keyasint"`
	// Address is where the entry accepts links.
	Address string `cbor:"2,keyasint"`
}

// Mirror is a copy of the jobs and of the keys below LeadPrefix. Its zero value with a Store is ready to run.
type Mirror struct {
	Store Store
	// Prefix limits what is copied; empty means all that the system stores.
	Prefix string
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	Log  *slog.Logger

	mu       sync.Mutex
	cache    batch.Cache
	leads    map[string]store.Item
	revision uint64
	synced   bool
	heard    time.Time
	changed  map[model.JobID]bool
	all      bool
	wake     chan struct{}
}

// Run keeps the copy current until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	prefix := m.Prefix
	if prefix == "" {
		prefix = batch.Root
	}
	f := &Follower{Store: m.Store, Prefix: prefix, Wait: m.Wait, Apply: m.apply, Contacted: m.touch, Log: m.Log}
	f.Run(ctx)
}

func (m *Mirror) touch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = clock.Now()
}

func (m *Mirror) apply(items []store.Item, revision uint64, full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if full {
		m.cache.Reset()
		m.leads = map[string]store.Item{}
		m.all = true
	}
	if m.changed == nil {
		m.changed = map[model.JobID]bool{}
	}
	for _, item := range items {
		if strings.HasPrefix(item.Key, LeadPrefix) {
			m.applyLead(item)
			continue
		}
		id, err := m.cache.Apply(item.Key, item.Value, item.Version)
		if err != nil {
			m.Log.Error("record not readable", "key", item.Key, "version", item.Version, "error", err)
			continue
		}
		m.changed[id] = true
	}
	m.revision, m.synced = revision, true
	m.signal()
}

func (m *Mirror) applyLead(item store.Item) {
	if item.Version == 0 {
		delete(m.leads, item.Key)
		return
	}
	m.leads[item.Key] = item
}

func (m *Mirror) signal() {
	select {
	case m.wakeLocked() <- struct{}{}:
	default:
	}
}

func (m *Mirror) wakeLocked() chan struct{} {
	if m.wake == nil {
		m.wake = make(chan struct{}, 1)
	}
	return m.wake
}

// Merge takes an item of a job that another process has just stored, before a watch shows it.
func (m *Mirror) Merge(item store.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced {
		return
	}
	id, err := m.cache.Apply(item.Key, item.Value, item.Version)
	if err != nil {
		m.Log.Error("record not readable", "key", item.Key, "version", item.Version, "error", err)
		return
	}
	if m.changed == nil {
		m.changed = map[model.JobID]bool{}
	}
	m.changed[id] = true
	m.signal()
}

// Wake receives after changes; it has one reader.
func (m *Mirror) Wake() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wakeLocked()
}

// VisitChanges calls fn with the jobs that changed since the last call; all says that any of them may have.
func (m *Mirror) VisitChanges(fn func(cache *batch.Cache, ids []model.JobID, all bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]model.JobID, 0, len(m.changed))
	for id := range m.changed {
		ids = append(ids, id)
	}
	all := m.all
	m.changed, m.all = nil, false
	fn(&m.cache, ids, all)
}

// View calls fn with the jobs; fn must not keep the cache.
func (m *Mirror) View(fn func(*batch.Cache)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cache.Jobs == nil {
		m.cache.Reset()
	}
	fn(&m.cache)
}

// Status returns the revision of the copy, when the store last answered, and whether the first list is there.
func (m *Mirror) Status() (revision uint64, heard time.Time, synced bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.heard, m.synced
}

// LeadItem returns the item of a key below LeadPrefix, with version 0 if there is none.
func (m *Mirror) LeadItem(key string) store.Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leads[key]
}

// Owner returns the address of the present owner, or an empty string.
func (m *Mirror) Owner() string { return m.address(m.LeadItem(OwnerKey)) }

// Entries returns the addresses of the entries other than self.
func (m *Mirror) Entries(self string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for key, item := range m.leads {
		if address := m.address(item); strings.HasPrefix(key, EntryPrefix) && address != "" && address != self {
			addresses = append(addresses, address)
		}
	}
	sort.Strings(addresses)
	return addresses
}

func (m *Mirror) address(item store.Item) string {
	if item.Version == 0 {
		return ""
	}
	var lead EntryInfo
	if err := cbor.Unmarshal(item.Value, &lead); err != nil {
		m.Log.Error("record not readable", "key", item.Key, "version", item.Version, "error", err)
	}
	return lead.Address
}
