package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// valueBytes is the largest value that the store takes.
const valueBytes = 1 << 20

// limitedStore is the platform's store with its limit on values and its pages, which the fake lacks.
type limitedStore struct {
	sys *system
	// refused counts the transactions refused for a value that is too large.
	refused int
}

func (l *limitedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/kv-range" {
		l.servePage(w, r)
		return
	}
	if r.URL.Path == "/kv-txn" {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var body struct {
			Sets []struct {
				Key   string `json:"key"`
				Value []byte `json:"value"`
			} `json:"setKeys"`
		}
		_ = json.Unmarshal(data, &body)
		for _, set := range body.Sets {
			if len(set.Value) > valueBytes {
				l.sys.noteRefused(set.Key, len(set.Value), len(body.Sets))
				http.Error(w, "value too large", http.StatusBadRequest)
				return
			}
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
	}
	l.sys.store.ServeHTTP(w, r)
}

// noteRefused records refused transactions, at most one a second.
func (s *system) noteRefused(key string, size, sets int) {
	s.mu.Lock()
	s.refused++
	n, due := s.refused, time.Since(s.refusedAt) > time.Second
	if due {
		s.refusedAt = time.Now()
	}
	s.mu.Unlock()
	if due {
		s.record("store: refuses a transaction with %d values, of which %s has %d bytes; %d refused so far", sets, key, size, n)
	}
}

// playRecord hands in a job of 8,000 small work items that write checkpoints, among ordinary jobs. The names of the checkpoints have some
// 100 characters, and without trouble 16.
func playRecord(s *system, trouble bool) int {
	s.traffic(20*time.Second, 900*time.Millisecond, func(i int) *job {
		if i == 4 {
			j := &job{queue: &queues[0], hopeless: true, work: work{Millis: 16000, Uneven: true, Saved: "%.0s%016x"}}
			if trouble {
				j.work.Saved = "checkpoints/ch-west/lausanne/dispatch/route-plan/2026-12-07/%s/state-%010d.bin"
			}
			j.step = step{Count: 8000, CPU: 80, Mem: 100, Estimate: 16000, Checkpointing: true}
			return j
		}
		return mixed(i)
	})
	s.watch(finishTime, false)
	s.watch(8*time.Second, true)
	broken := s.verdict()
	s.record("end: %d transactions refused; the record's checkpoints are named like %s", s.refused, fmt.Sprintf("%.40s...", s.list[4].work.Saved))
	return broken
}
