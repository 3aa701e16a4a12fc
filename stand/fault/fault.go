package fault

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// Mode says how a call fails.
type Mode string

// Modes; a stand-in that has no use for a mode ignores it.
const (
	// Down answers 503 before the effect.
	Down Mode = "down"
	// Slow delays the call by Delay milliseconds, then carries it out.
	Slow Mode = "slow"
	// Lost carries the call out and closes the connection instead of answering.
	Lost Mode = "lost"
	// Silent neither carries the call out nor answers, and leaves the connection open.
	Silent Mode = "silent"
	// Mute carries the call out, does not answer, and leaves the connection open.
	Mute Mode = "mute"
	// Refuse closes the connection before the effect.
	Refuse Mode = "refuse"
	// Twice carries the call out twice and answers with the second result.
	Twice Mode = "twice"
	// Fail lets everything that is started fail: tasks of the platform, requests to a minion.
	Fail Mode = "fail"
	// Lose takes the worker named by Worker away until the fault is cleared (platform).
	Lose Mode = "lose"
	// Drop closes the open connections (relay).
	Drop Mode = "drop"
	// Hold passes no bytes until the fault is cleared, and loses none (relay).
	Hold Mode = "hold"
	// Limit bounds the bytes a second of each direction to Rate (relay).
	Limit Mode = "limit"
	// Clear removes all faults.
	Clear Mode = "clear"
)

// Fault is one entry of the fault list, the body of POST /faults.
type Fault struct {
	Mode Mode `json:"mode"`
	// Of restricts the fault to one service of the process: store or works.
	Of string `json:"of,omitempty"`
	// Method and Path (a prefix) restrict the fault to some calls.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// Worker restricts fail and names the worker of lose.
	Worker string `json:"worker,omitempty"`
	// Count is the number of calls that fail; 0 means all until cleared.
	Count int `json:"count,omitempty"`
	// Delay is in milliseconds.
	Delay int64 `json:"delay,omitempty"`
	// Rate is in bytes a second.
	Rate int64 `json:"rate,omitempty"`
}

func (f Fault) matches(of string, r *http.Request) bool {
	switch f.Mode {
	case Fail, Lose, Drop, Hold, Limit:
		return false
	}
	return (f.Of == "" || f.Of == of) && (f.Method == "" || f.Method == r.Method) &&
		strings.HasPrefix(r.URL.Path, f.Path)
}

// Set is the list of faults of a process.
type Set struct {
	mu     sync.Mutex
	faults []Fault
	notify []func([]Fault)
}

// Add appends a fault; Clear empties the list.
func (s *Set) Add(f Fault) {
	s.mu.Lock()
	if f.Mode == Clear {
		s.faults = nil
	} else {
		s.faults = append(s.faults, f)
	}
	notify, faults := s.notify, append([]Fault(nil), s.faults...)
	s.mu.Unlock()
	for _, fn := range notify {
		fn(faults)
	}
}

// OnChange calls fn with the whole list after each change by Add.
func (s *Set) OnChange(fn func([]Fault)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify = append(s.notify, fn)
}

// List returns the active faults.
func (s *Set) List() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Fault{}, s.faults...)
}

// Take returns the first fault that match accepts and counts it down.
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

// Serve handles GET and POST /faults.
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
