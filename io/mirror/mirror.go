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

// LeadPrefix is the prefix of the keys of the present owner and of the entries.
const LeadPrefix = batch.Root + "lead/"

// OwnerKey holds the EntryInfo of the present owner, under its lease.
const OwnerKey = LeadPrefix + "owner"

// EntryPrefix is the prefix of the keys that hold the EntryInfo of each entry, under the entry's lease.
const EntryPrefix = LeadPrefix + "entry/"

// EntryInfo is the id and the address of an entry.
type EntryInfo struct {
	ID string `cbor:"1,keyasint"`
	// Address is the host:port at which the entry accepts links.
	Address string `cbor:"2,keyasint"`
	// Share is the entry's share of processor time, in cores; 0 means that it isn't known.
	Share float64 `cbor:"3,keyasint,omitempty"`
}

// Mirror is a copy of the stored jobs, of the keys below LeadPrefix and of batch.LearnedKey. It is ready to run once Store and Log are set.
type Mirror struct {
	Store Store
	// Prefix limits what is copied; empty means all keys of the system.
	Prefix string
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	Log  *slog.Logger

	mu    sync.Mutex
	cache batch.Cache
	// leadItems holds the items that aren't of jobs, by key.
	leadItems map[string]store.Item
	// refused holds the versions of the marks of refused jobs, by key.
	refused  map[string]uint64
	revision uint64
	// synced is true once the first list has been applied.
	synced bool
	// contacted is when the store last answered, on the boot-time clock.
	contacted time.Time
	// changedJobs are the jobs that changed since the last VisitChanges; allChanged means that any job may have changed.
	changedJobs map[model.JobID]bool
	allChanged  bool
	wake        chan struct{}
}

// Run keeps the copy current until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	prefix := m.Prefix
	if prefix == "" {
		prefix = batch.Root
	}
	f := &Follower{Store: m.Store, Prefix: prefix, Wait: m.Wait, Apply: m.applyItems, Contacted: m.recordContact, Log: m.Log}
	f.Run(ctx)
}

// recordContact notes that the store has just answered.
func (m *Mirror) recordContact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contacted = clock.Now()
}

// applyItems applies items of a list, if full, or of a watch. A record that can't be decoded is left out.
func (m *Mirror) applyItems(items []store.Item, revision uint64, full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if full {
		m.cache.Reset()
		m.leadItems = map[string]store.Item{}
		m.refused = nil
		m.allChanged = true
	}
	if m.changedJobs == nil {
		m.changedJobs = map[model.JobID]bool{}
	}
	for _, item := range items {
		if strings.HasPrefix(item.Key, LeadPrefix) || item.Key == batch.LearnedKey {
			m.applyLeadItem(item)
			continue
		}
		if strings.HasPrefix(item.Key, batch.RefusedPrefix) {
			m.applyRefused(item)
			continue
		}
		id, err := m.cache.Apply(item.Key, item.Value, item.Version)
		if err != nil {
			m.Log.Error("stored record can't be decoded; change ignored", "key", item.Key, "version", item.Version, "error", err)
			continue
		}
		m.changedJobs[id] = true
	}
	m.revision, m.synced = revision, true
	m.signal()
}

// applyLeadItem stores or deletes the copy of an item that isn't of a job.
func (m *Mirror) applyLeadItem(item store.Item) {
	if item.Version == 0 {
		delete(m.leadItems, item.Key)
		return
	}
	m.leadItems[item.Key] = item
}

// applyRefused stores or deletes the version of the mark of a refused job.
func (m *Mirror) applyRefused(item store.Item) {
	if item.Version == 0 {
		delete(m.refused, item.Key)
		return
	}
	if m.refused == nil {
		m.refused = map[string]uint64{}
	}
	m.refused[item.Key] = item.Version
}

// RefusedVersion returns the version of the mark of a refused job, or 0 if the copy has none.
func (m *Mirror) RefusedVersion(id model.JobID) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused[batch.RefusedKey(id)]
}

// signal wakes the reader of Wake without blocking.
func (m *Mirror) signal() {
	select {
	case m.wakeLocked() <- struct{}{}:
	default:
	}
}

// wakeLocked returns the channel of Wake; the caller holds m.mu.
func (m *Mirror) wakeLocked() chan struct{} {
	if m.wake == nil {
		m.wake = make(chan struct{}, 1)
	}
	return m.wake
}

// Merge applies an item of a job that has just been stored, before a watch delivers it. Until the first list has been
// applied, the item is ignored.
func (m *Mirror) Merge(item store.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced {
		return
	}
	id, err := m.cache.Apply(item.Key, item.Value, item.Version)
	if err != nil {
		m.Log.Error("stored record can't be decoded; change ignored", "key", item.Key, "version", item.Version, "error", err)
		return
	}
	if m.changedJobs == nil {
		m.changedJobs = map[model.JobID]bool{}
	}
	m.changedJobs[id] = true
	m.signal()
}

// Wake returns a channel that receives a value after changes; it has one reader.
func (m *Mirror) Wake() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wakeLocked()
}

// VisitChanges calls fn with the ids of the jobs that changed since the last call; all means that any job may have changed.
func (m *Mirror) VisitChanges(fn func(cache *batch.Cache, ids []model.JobID, all bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]model.JobID, 0, len(m.changedJobs))
	for id := range m.changedJobs {
		ids = append(ids, id)
	}
	all := m.allChanged
	m.changedJobs, m.allChanged = nil, false
	fn(&m.cache, ids, all)
}

// View calls fn with the jobs. The mirror is locked only while fn runs, so fn must not keep the cache.
func (m *Mirror) View(fn func(*batch.Cache)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cache.Jobs == nil {
		m.cache.Reset()
	}
	fn(&m.cache)
}

// Status returns the revision of the copy, when the store last answered, and whether the first list has been applied.
func (m *Mirror) Status() (revision uint64, contacted time.Time, synced bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.contacted, m.synced
}

// LeadItem returns the item of a key below LeadPrefix or of batch.LearnedKey, with version 0 if there is none.
func (m *Mirror) LeadItem(key string) store.Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadItems[key]
}

// Owner returns the address of the present owner, or an empty string if there is none.
func (m *Mirror) Owner() string { return m.entryInfo(m.LeadItem(OwnerKey)).Address }

// Entries returns the addresses of the entries other than self.
func (m *Mirror) Entries(self string) []string {
	var addresses []string
	for _, info := range m.OtherEntries(self) {
		addresses = append(addresses, info.Address)
	}
	sort.Strings(addresses)
	return addresses
}

// OtherEntries returns the registered entries whose address isn't self, in no particular order.
func (m *Mirror) OtherEntries(self string) []EntryInfo {
	m.mu.Lock()
	defer m.mu.Unlock()
	var infos []EntryInfo
	for key, item := range m.leadItems {
		if !strings.HasPrefix(key, EntryPrefix) {
			continue
		}
		if info := m.entryInfo(item); info.Address != "" && info.Address != self {
			infos = append(infos, info)
		}
	}
	return infos
}

// entryInfo returns the content of an item below LeadPrefix, which is empty if it doesn't exist or can't be decoded.
func (m *Mirror) entryInfo(item store.Item) EntryInfo {
	if item.Version == 0 {
		return EntryInfo{}
	}
	var info EntryInfo
	if err := cbor.Unmarshal(item.Value, &info); err != nil {
		m.Log.Error("stored record of an entry can't be decoded", "key", item.Key, "version", item.Version, "error", err)
		return EntryInfo{}
	}
	return info
}
