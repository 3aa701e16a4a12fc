package config

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailhoist/core/model"
)

const (
	simNodes = 5
	// simEvents is the largest number of faults and changes of one run.
	simEvents = 150
	simStep   = 250 * time.Millisecond
	// simDelay bounds the time that a message takes.
	simDelay = time.Second
	// simReach is how long nothing must have kept two processes apart for them to count as
	// reachable: the longest delay of two messages and the interval of dials.
	simReach = 3 * time.Second
)

// simSilence is the time after which a link to a paused process is given up.
const simSilence = 3 * time.Second

type pair [2]int

type flight struct {
	message Message
	at      time.Time
}

// node is one process over all its lives.
type node struct {
	state  *State // nil while the process is down
	life   model.Incarnation
	best   model.Revision // highest revision in force in any life
	force  model.Revision // in this life
	paused bool
	awake  time.Time // start of its current pause, or end of its last one
	heldAt time.Time // since when it holds at least what it holds now
	booted time.Time
	reads  []flight // answers of the store that are under way
}

// world runs processes, their links and the store in simulated time.
type world struct {
	t      *rapid.T
	now    time.Time
	nodes  [simNodes]*node
	cut    map[pair]bool
	healed map[pair]time.Time // when the last cut ended
	linked map[pair]time.Time // key with the lower index first
	queue  map[pair][]flight
	rand   *rand.Rand
	latest Copy // of the store
	// answered is when the last read of the store began that was answered.
	answered time.Time
	up       bool
	noRead   [simNodes]bool // processes that don't reach the store
}

func link(i, j int) pair { return pair{min(i, j), max(i, j)} }

func id(i int) model.NodeID { return model.NodeID(fmt.Sprint(i)) }

func (w *world) boot(i int) {
	n := w.nodes[i]
	n.life++
	n.state, n.force, n.paused, n.awake, n.heldAt, n.booted = New(w.now, n.life), 0, false, w.now, w.now, w.now
	for j := range simNodes {
		if j != i {
			n.state.Meet(id(j))
		}
	}
	w.read(i)
}

func (w *world) kill(i int) {
	w.nodes[i].state, w.nodes[i].reads = nil, nil
	for j := range simNodes {
		w.unlink(i, j)
	}
}

func (w *world) unlink(i, j int) {
	if _, ok := w.linked[link(i, j)]; !ok {
		return
	}
	delete(w.linked, link(i, j))
	delete(w.queue, pair{i, j})
	delete(w.queue, pair{j, i})
	for _, e := range []pair{{i, j}, {j, i}} {
		// A paused end finds out only when it dials again.
		if n := w.nodes[e[0]]; w.runs(e[0]) {
			w.run(e[0], n.state.Down(w.now, id(e[1])))
		}
	}
}

func (w *world) runs(i int) bool { return w.nodes[i].state != nil && !w.nodes[i].paused }

// read starts a read of the store; its answer may take a while.
func (w *world) read(i int) {
	if w.up && !w.noRead[i] {
		c := w.latest
		w.nodes[i].reads = append(w.nodes[i].reads, flight{Message{Copy: &c}, w.now})
	}
}

// reachable reports whether process i could have asked process j, which has held revision r for
// long enough: neither the network nor a pause kept them apart. It doesn't matter whether i did.
func (w *world) reachable(i, j int, r model.Revision) bool {
	old := func(t time.Time) bool { return w.now.Sub(t) >= simReach }
	n := w.nodes[j]
	return !w.cut[link(i, j)] && old(w.healed[link(i, j)]) && w.runs(j) && old(n.awake) &&
		n.state.Held().Revision >= r && old(n.heldAt)
}

func (w *world) run(i int, effects []Effect) {
	n := w.nodes[i]
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			var j int
			fmt.Sscan(string(e.To), &j)
			if _, ok := w.linked[link(i, j)]; ok {
				w.queue[pair{i, j}] = append(w.queue[pair{i, j}], flight{e.Message, w.now})
			}
		case Refresh:
			w.read(i)
		case Activate:
			r := e.Copy.Revision
			for j := range simNodes {
				if j != i && r < n.best && w.reachable(i, j, n.best) {
					w.t.Fatalf("process %d puts revision %d in force after %d, which the reachable process %d holds", i, r, n.best, j)
				}
			}
			if r < n.force {
				w.t.Fatalf("process %d reverts from %d to %d in one life", i, n.force, r)
			}
			n.force, n.best = r, max(n.best, r)
		}
	}
	if n.state.Confirmed() && (n.force > w.latest.Revision || w.answered.Before(n.booted)) {
		w.t.Fatalf("process %d reports %d as confirmed; the store has %d and last answered %v after its start",
			i, n.force, w.latest.Revision, w.answered.Sub(n.booted))
	}
}

// step moves time on; slow says that messages and answers may be delayed.
func (w *world) step(slow bool) {
	w.now = w.now.Add(simStep)
	second := w.now.Sub(start)%time.Second == 0
	watcher := -1
	for i := range simNodes {
		if w.runs(i) && !w.noRead[i] {
			watcher = i
		}
	}
	for i, n := range w.nodes {
		if n.paused && w.now.Sub(n.awake) >= simSilence {
			for j := range simNodes {
				w.unlink(i, j)
			}
		}
		if !w.runs(i) {
			continue
		}
		before := n.state.Held().Revision
		w.answers(i, slow)
		w.messages(i, slow)
		if second {
			if i == watcher {
				w.read(i)
			}
			w.dial(i)
			w.run(i, n.state.Tick(w.now))
		}
		if n.state.Held().Revision != before {
			n.heldAt = w.now
		}
	}
}

func (w *world) due(f flight, slow bool) bool {
	return !slow || w.now.Sub(f.at) >= simDelay || w.rand.IntN(3) > 0
}

func (w *world) answers(i int, slow bool) {
	n := w.nodes[i]
	for len(n.reads) > 0 && w.due(n.reads[0], slow) {
		f := n.reads[0]
		n.reads = n.reads[1:]
		if f.at.After(w.answered) {
			w.answered = f.at
		}
		w.run(i, n.state.Store(f.at, w.now, *f.message.Copy))
	}
}

func (w *world) messages(i int, slow bool) {
	for j := range simNodes {
		for q := (pair{j, i}); len(w.queue[q]) > 0 && w.due(w.queue[q][0], slow); {
			f := w.queue[q][0]
			w.queue[q] = w.queue[q][1:]
			w.run(i, w.nodes[i].state.Hear(w.now, id(j), f.message))
		}
	}
}

func (w *world) dial(i int) {
	for j := range simNodes {
		if _, ok := w.linked[link(i, j)]; ok || j == i {
			continue
		}
		if !w.runs(j) || w.cut[link(i, j)] {
			w.run(i, w.nodes[i].state.Down(w.now, id(j)))
			continue
		}
		w.linked[link(i, j)] = w.now
		w.run(i, w.nodes[i].state.Up(w.now, id(j)))
		w.run(j, w.nodes[j].state.Up(w.now, id(i)))
	}
}

// apply writes a revision through process i; the answer may be lost after the effect.
func (w *world) apply(i int, lost bool) {
	if !w.up || !w.runs(i) || w.noRead[i] {
		return
	}
	w.latest = copyOf(w.latest.Revision + 1)
	if !lost {
		w.read(i)
	}
}

func (w *world) heal(p pair) {
	if w.cut[p] {
		delete(w.cut, p)
		w.healed[p] = w.now
	}
}

// event makes one random change to the processes, the links or the store.
func (w *world) event() {
	i, j := w.rand.IntN(simNodes), w.rand.IntN(simNodes)
	n := w.nodes[i]
	switch w.rand.IntN(12) {
	case 0, 1:
		w.kill(i)
		w.boot(i)
	case 2:
		w.kill(i)
	case 3:
		if n.state == nil {
			w.boot(i)
		}
	case 4:
		for j := range simNodes {
			if j != i && w.rand.IntN(2) == 0 {
				w.cut[link(i, j)] = true
				w.unlink(i, j)
			}
		}
	case 5:
		w.heal(link(i, j))
	case 6:
		for p := range w.cut {
			w.heal(p)
		}
	case 7:
		if n.state != nil {
			n.paused, n.awake = !n.paused, w.now
		}
	case 8:
		w.up = !w.up
	case 9:
		w.noRead[i] = !w.noRead[i]
	default:
		w.apply(i, w.rand.IntN(3) == 0)
	}
}

// A restarted process remembers nothing, so that it could put an old revision in force from a
// stale peer or a delayed answer while a process with the newer one can be asked.
func TestNoProcessReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := &world{
			t: t, now: start, up: true, cut: map[pair]bool{}, linked: map[pair]time.Time{}, queue: map[pair][]flight{},
			healed: map[pair]time.Time{},
			rand:   rand.New(rand.NewPCG(seed, 0)),
		}
		for i := range simNodes {
			w.nodes[i] = &node{}
			w.boot(i)
		}
		for range rapid.IntRange(1, simEvents).Draw(t, "events") {
			w.event()
			for range w.rand.IntN(20) {
				w.step(true)
			}
		}
		w.recover()
	})
}

// recover ends all faults and checks that the store's revision is in force everywhere in 8 s.
func (w *world) recover() {
	w.up, w.cut, w.noRead = true, map[pair]bool{}, [simNodes]bool{}
	for i, n := range w.nodes {
		if n.state == nil {
			w.boot(i)
		}
		n.paused = false
		w.read(i)
	}
	for range int(8 * time.Second / simStep) {
		w.step(true)
	}
	for i, n := range w.nodes {
		force, ready := n.state.Force()
		if !ready || force.Revision != w.latest.Revision || !n.state.Confirmed() {
			w.t.Fatalf("process %d after 8 s without faults: revision %d, ready %v, confirmed %v; want %d",
				i, force.Revision, ready, n.state.Confirmed(), w.latest.Revision)
		}
	}
}
