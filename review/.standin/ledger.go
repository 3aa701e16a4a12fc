package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Ledger writes the record of a case and checks the rule TWICE.
type Ledger struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
	// running has the present runs of each task by the minion, done the runs that have ended done.
	running map[string]map[*Minion]*run
	done    map[string][]int
	// noted has the runs that ended done and are taken note of; later has the starts after a run that ended done.
	noted  map[string]bool
	later  []string
	starts map[string]int
	ends   map[string]int
	broken []string
}

// NewLedger returns a ledger that writes to a file.
func NewLedger(path string) (*Ledger, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Ledger{
		file: f, begun: time.Now(), running: map[string]map[*Minion]*run{}, done: map[string][]int{}, noted: map[string]bool{},
		starts: map[string]int{}, ends: map[string]int{},
	}, nil
}

// Note writes a line to the record.
func (l *Ledger) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(format, args...)
}

func (l *Ledger) note(format string, args ...any) {
	fmt.Fprintf(l.file, "%8.3f  %s\n", time.Since(l.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Break records a broken rule.
func (l *Ledger) Break(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail(format, args...)
}

func (l *Ledger) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.broken = append(l.broken, text)
	l.note("BROKEN %s", text)
}

// Started records that a minion has begun a run.
func (l *Ledger) Started(m *Minion, r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[r.task]++
	l.note("start %s run %d on %s", r.task, r.number, m.ID)
	for other, running := range l.running[r.task] {
		if other != m {
			l.fail("TWICE: %s run %d starts on %s while run %d runs on %s", r.task, r.number, m.ID, running.number, other.ID)
		}
	}
	for _, number := range l.done[r.task] {
		key := fmt.Sprintf("%s/%d", r.task, number)
		if l.noted[key] {
			l.fail("TWICE: %s run %d starts on %s after run %d ended done and was taken note of", r.task, r.number, m.ID, number)
		} else {
			l.later = append(l.later, key)
			l.note("%s run %d starts on %s after run %d ended done, which isn't taken note of yet", r.task, r.number, m.ID, number)
		}
	}
	if l.running[r.task] == nil {
		l.running[r.task] = map[*Minion]*run{}
	}
	l.running[r.task][m] = r
}

// Ended records the end of a run.
func (l *Ledger) Ended(m *Minion, r *run, how string, lapsed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note("end %s run %d on %s: %s", r.task, r.number, m.ID, how)
	l.ends[how]++
	delete(l.running[r.task], m)
	if how == "done" && !lapsed {
		l.done[r.task] = append(l.done[r.task], r.number)
	}
}

// Noted records that the end of a run that was done is taken note of.
func (l *Ledger) Noted(task string, number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := fmt.Sprintf("%s/%d", task, number)
	l.noted[key] = true
	for _, k := range l.later {
		if k == key {
			l.fail("TWICE: %s was started again after run %d ended done, and that end is taken note of now", task, number)
		}
	}
}

// Runs returns how many work items of a job run now.
func (l *Ledger) Runs(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for task, runs := range l.running {
		if strings.HasPrefix(task, job+".") {
			n += len(runs)
		}
	}
	return n
}

// Begun reports whether any work item of a job has been started.
func (l *Ledger) Begun(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task := range l.starts {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

// Finish writes the result and returns the exit status.
func (l *Ledger) Finish() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note("starts of %d tasks; ends %v; broken %d times", len(l.starts), l.ends, len(l.broken))
	if len(l.broken) > 0 {
		fmt.Printf("rule broken %d times, first: %s\n", len(l.broken), l.broken[0])
		return 1
	}
	fmt.Println("rule held")
	return 0
}
