package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// gangWait is how long a member of a gang waits for the others (gangWaitMs).
	gangWait = 3 * time.Second
	// gangSize is the number of members of each gang.
	gangSize = 8
)

// gangs has the runs of gangs of all minions. The jobs whose ids begin with c are gangs. A nil value has none.
type gangs struct {
	mu   sync.Mutex
	runs map[string]*gangRun
}

// gangRun is a run of a gang: its members work from the moment in which all are present, and end together.
type gangRun struct {
	present map[string]bool
	begun   time.Time
	how     string
}

func newGangs() *gangs { return &gangs{runs: map[string]*gangRun{}} }

// member reports whether a work item is a member of a gang.
func (g *gangs) member(task string) bool { return g != nil && strings.HasPrefix(task, "c") }

func (g *gangs) run(task string, number int) *gangRun {
	key := fmt.Sprintf("%s/%d", task[:strings.LastIndex(task, ".")], number)
	if g.runs[key] == nil {
		g.runs[key] = &gangRun{present: map[string]bool{}}
	}
	return g.runs[key]
}

// begin notes that a member has started.
func (g *gangs) begin(task string, number int) {
	if !g.member(task) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.run(task, number)
	r.present[task] = true
	if len(r.present) == gangSize && r.begun.IsZero() {
		r.begun = time.Now()
	}
}

// end notes how a member has ended. The others end likewise if it is done, and are broken otherwise.
func (g *gangs) end(task string, number int, how string) {
	if !g.member(task) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.run(task, number)
	switch {
	case r.how != "":
	case how == "done":
		r.how = "done"
	default:
		r.how = "broken"
	}
}

// look returns whether all members of a run are present, since when, and how the members end that haven't ended yet, empty if they go on.
func (g *gangs) look(task string, number int) (complete bool, begun time.Time, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.run(task, number)
	return len(r.present) == gangSize, r.begun, r.how
}
