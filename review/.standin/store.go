package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is how long the store takes to answer, as on the site's sheet.
	storeLatency = 4 * time.Millisecond
	// pageItems is the number of items on a page of a range.
	pageItems = 500
	// leaseCheck is the interval at which leases are checked for expiry.
	leaseCheck = 10 * time.Millisecond
	// history is how long changes can be watched, as on the site's sheet.
	history = 20 * time.Second
)

// item is a key of the store, or its removal in an event.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`

	// at is when the change was made.
	at time.Time
}

type lease struct {
	ttl, left time.Duration
}

// Store is a stand-in of the platform's store. While it is down, calls get no answer and leases pause.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]*lease
	// discarded is the revision up to which the history is gone.
	discarded uint64
	changed   chan struct{}
	down      bool
	// slow is how many times as long the store takes to answer, 0 for 1.
	slow int
	// back is closed when the store answers again.
	back chan struct{}
}

// NewStore returns an empty store, which checks its leases until the process ends.
func NewStore() *Store {
	s := &Store{revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		last := time.Now()
		for range time.Tick(leaseCheck) {
			now := time.Now()
			s.mu.Lock()
			for len(s.events) > 0 && now.Sub(s.events[0].at) > history {
				s.discarded = s.events[0].Revision
				s.events = s.events[1:]
			}
			for id, l := range s.leases {
				if s.down {
					continue
				}
				if l.left -= now.Sub(last); l.left <= 0 {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
			last = now
		}
	}()
	return s
}

// SetDown begins or ends an outage, in which calls have no effect and no answer.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down == s.down {
		return
	}
	s.down = down
	if down {
		s.back = make(chan struct{})
	} else {
		close(s.back)
	}
}

// SetSlow makes the store take that many times as long to answer; 1 ends it.
func (s *Store) SetSlow(factor int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

func (s *Store) latency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeLatency * time.Duration(max(1, s.slow))
}

// Put writes a key as the operator does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, value, 0)
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) set(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	i.at = time.Now()
	s.events = append(s.events, i)
	s.notify()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Removed: true, at: time.Now()})
		s.notify()
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) isDown() (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down, s.back
}

// ServeHTTP answers a call. A call during an outage is never answered; its connection is closed after the outage.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.latency())
	if down, back := s.isDown(); down {
		select {
		case <-back:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/kv-watch" {
		s.watch(w, r)
		return
	}
	status, answer := s.answer(r, body)
	writeJSON(w, status, answer)
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

type txnBody struct {
	TTL    int64 `json:"ttlMs"`
	Expect []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expect"`
	Sets []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"setKeys"`
	Deletes []string `json:"deleteKeys"`
}

func (s *Store) answer(r *http.Request, data []byte) (int, any) {
	var body txnBody
	if len(data) > 0 {
		if err := json.Unmarshal(data, &body); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	path, last, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	id, _ := strconv.ParseUint(last, 10, 64)
	switch path {
	case "kv-key":
		if i, ok := s.items[query.Get("key")]; ok {
			return http.StatusOK, map[string]any{
				"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "asOf": s.revision,
			}
		}
		return http.StatusNotFound, map[string]any{"asOf": s.revision}
	case "kv-range":
		list := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				list = append(list, i)
			}
		}
		sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
		more := len(list) > pageItems
		return http.StatusOK, map[string]any{"items": list[:min(len(list), pageItems)], "hasMore": more, "asOf": s.revision}
	case "kv-txn":
		return s.transaction(&body)
	case "kv-lease":
		s.revision++
		ttl := max(time.Second, time.Duration(body.TTL)*time.Millisecond)
		s.leases[s.revision] = &lease{ttl, ttl}
		return http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": ttl.Milliseconds()}
	case "kv-keep":
		l, ok := s.leases[id]
		if !ok {
			return http.StatusNotFound, nil
		}
		l.left = l.ttl
		return http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()}
	case "kv-lease-end":
		s.endLease(id)
		return http.StatusOK, nil
	}
	return http.StatusNotFound, nil
}

func (s *Store) transaction(c *txnBody) (int, any) {
	if len(c.Expect)+len(c.Sets)+len(c.Deletes) > 32 {
		return http.StatusBadRequest, nil
	}
	present := []item{}
	failed := false
	for _, e := range c.Expect {
		i := s.items[e.Key]
		failed = failed || i.Revision != e.Revision
		if i.Revision != 0 {
			present = append(present, i)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": present}
	}
	for _, set := range c.Sets {
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, set := range c.Sets {
		s.set(set.Key, set.Value, set.Lease)
	}
	for _, key := range c.Deletes {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed, down, back, gone := s.revision, s.changed, s.down, s.back, after < s.discarded
		s.mu.Unlock()
		if down {
			select {
			case <-back:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		if gone {
			writeJSON(w, http.StatusGone, nil)
			return
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
