package fault

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// Mode is the way in which a call fails.
type Mode string

// Modes of faults. A process ignores a mode that does not apply to it.
const (
	// Down answers 503 without carrying the call out. A relay closes its connections and refuses new ones.
	Down Mode = "down"
	// Slow delays the call by Delay milliseconds, then carries it out.
	Slow Mode = "slow"
	// LoseAnswer carries the call out and closes the connection instead of answering. A relay drops the bytes from its target.
	LoseAnswer Mode = "lost"
	// Silent neither carries the call out nor answers, and leaves the connection open. A relay stops forwarding bytes.
	Silent Mode = "silent"
	// WithholdAnswer carries the call out, does not answer, and leaves the connection open.
	WithholdAnswer Mode = "mute"
	// Refuse closes the connection without carrying the call out. A relay, or a minion if Count is 0, refuses new connections.
	Refuse Mode = "refuse"
	// Twice carries the call out twice and answers with the second result.
	Twice Mode = "twice"
	// Fail makes tasks fail when they start (platform), or requests with status 500 (minion).
	Fail Mode = "fail"
	// LoseWorker makes the worker named by Worker unavailable until the fault is cleared; its tasks are lost (platform).
	LoseWorker Mode = "lose"
	// Drop closes the open connections (relay).
	Drop Mode = "drop"
	// Hold delays all bytes until the fault is cleared, without losing any (relay).
	Hold Mode = "hold"
	// Limit bounds the throughput of each direction to Rate (relay).
	Limit Mode = "limit"
	// Clear removes all faults.
	Clear Mode = "clear"
)

// Fault is one entry of the fault list, the body of POST /faults.
type Fault struct {
	Mode Mode `json:"mode"`
	// Service restricts the fault to one service of the process: store or works.
	Service string `json:"of,omitempty"`
	// Method and Path (a prefix) restrict the fault to some calls.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// Worker restricts Fail to one worker, and names the worker that LoseWorker makes unavailable.
	Worker string `json:"worker,omitempty"`
	// Count is the number of calls that fail; 0 means all until cleared.
	Count int `json:"count,omitempty"`
	// Delay is in milliseconds.
	Delay int64 `json:"delay,omitempty"`
	// Rate is in bytes a second.
	Rate int64 `json:"rate,omitempty"`
}

func (f Fault) matches(service string, r *http.Request) bool {
	switch f.Mode {
	case Fail, LoseWorker, Drop, Hold, Limit:
		return false
	}
	return (f.Service == "" || f.Service == service) && (f.Method == "" || f.Method == r.Method) &&
		strings.HasPrefix(r.URL.Path, f.Path)
}

// Set is the list of active faults of a process.
type Set struct {
	mu        sync.Mutex
	faults    []Fault
	listeners []func([]Fault)
}

// Add appends a fault, or empties the list if its mode is Clear, and calls the functions registered with OnChange.
func (s *Set) Add(f Fault) {
	s.mu.Lock()
	if f.Mode == Clear {
		s.faults = nil
	} else {
		s.faults = append(s.faults, f)
	}
	listeners, faults := s.listeners, append([]Fault(nil), s.faults...)
	s.mu.Unlock()
	for _, fn := range listeners {
		fn(faults)
	}
}

// OnChange registers fn to be called with the complete list after each Add.
func (s *Set) OnChange(fn func([]Fault)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, fn)
}

// List returns the active faults.
func (s *Set) List() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Fault{}, s.faults...)
}

// Take returns the first fault that match accepts, decrements its count and removes it when none is left.
func (s *Set) Take(match func(Fault) bool) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.faults {
		if !match(f) {
			continue
		}
		if f.Count == 1 {
			s.faults = append(s.faults[:i:i], s.faults[i+1:]...)
		} else if f.Count > 1 {
			s.faults[i].Count--
		}
		return f, true
	}
	return Fault{}, false
}

// Serve handles GET and POST of /faults: POST adds the fault in the body, and both answer with the list.
func (s *Set) Serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Add(f)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.List())
}
