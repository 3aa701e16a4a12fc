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
	// simEvents is the largest number of faults and configuration changes in a run.
	simEvents = 150
	simStep   = 250 * time.Millisecond
	// simMaxDelay is the longest delay of a message.
	simMaxDelay = time.Second
	// simReachTime is how long two processes must have been able to communicate to count as reachable: the longest delay
	// of two messages and the interval between dials.
	simReachTime = 3 * time.Second
)

// simLinkTimeout is how long after the pause of a process its links are closed.
const simLinkTimeout = 3 * time.Second

// pair is the indexes of two nodes, such as sender and receiver.
type pair [2]int

// delivery is a message or store reply in transit since the given time.
type delivery struct {
	message Message
	at      time.Time
}

// node is a process with all its incarnations.
type node struct {
	state        *State // nil while the process is down
	incarnation  model.Incarnation
	highest      model.Revision // highest revision in force in any incarnation
	inForce      model.Revision // in this incarnation
	paused       bool
	pauseChanged time.Time // start of the current pause, or end of the last one
	heldSince    time.Time // when its highest revision last changed
	started      time.Time
	storeReads   []delivery // store replies in transit
}

// simulation simulates processes, their links and the store, with a virtual clock.
type simulation struct {
	t           *rapid.T
	now         time.Time
	nodes       [simNodes]*node
	partitioned map[pair]bool
	healed      map[pair]time.Time // when the last partition ended
	linked      map[pair]time.Time // by linkKey
	queue       map[pair][]delivery
	rand        *rand.Rand
	latest      Snapshot // latest revision in the store
	// lastAnswered is when the latest read of the store that was answered began.
	lastAnswered     time.Time
	storeUp          bool
	storeUnreachable [simNodes]bool // processes that can't reach the store
}

func linkKey(i, j int) pair { return pair{min(i, j), max(i, j)} }

func nodeID(i int) model.NodeID { return model.NodeID(fmt.Sprint(i)) }

// startNode starts a new incarnation of a process that was killed.
func (w *simulation) startNode(i int) {
	n := w.nodes[i]
	n.incarnation++
	n.state, n.inForce, n.paused, n.pauseChanged, n.heldSince, n.started = New(w.now, n.incarnation), 0, false, w.now, w.now, w.now
	for j := range simNodes {
		if j != i {
			n.state.ExpectPeer(nodeID(j))
		}
	}
	w.readStore(i)
}

func (w *simulation) killNode(i int) {
	w.nodes[i].state, w.nodes[i].storeReads = nil, nil
	for j := range simNodes {
		w.unlink(i, j)
	}
}

func (w *simulation) unlink(i, j int) {
	if _, ok := w.linked[linkKey(i, j)]; !ok {
		return
	}
	delete(w.linked, linkKey(i, j))
	delete(w.queue, pair{i, j})
	delete(w.queue, pair{j, i})
	for _, e := range []pair{{i, j}, {j, i}} {
		// A paused process notices the loss of the link only when it dials again.
		if n := w.nodes[e[0]]; w.running(e[0]) {
			w.applyEffects(e[0], n.state.LinkDown(w.now, nodeID(e[1])))
		}
	}
}

// running reports whether a process is up and not paused.
func (w *simulation) running(i int) bool { return w.nodes[i].state != nil && !w.nodes[i].paused }

// readStore starts a read of the store by a process; the reply may be delayed.
func (w *simulation) readStore(i int) {
	if w.storeUp && !w.storeUnreachable[i] {
		c := w.latest
		w.nodes[i].storeReads = append(w.nodes[i].storeReads, delivery{Message{Snapshot: &c}, w.now})
	}
}

// reachable reports whether process i could have received revision r from process j: neither a partition nor a pause has
// separated them for simReachTime, and j has had the revision for as long.
func (w *simulation) reachable(i, j int, r model.Revision) bool {
	old := func(t time.Time) bool { return w.now.Sub(t) >= simReachTime }
	n := w.nodes[j]
	return !w.partitioned[linkKey(i, j)] && old(w.healed[linkKey(i, j)]) && w.running(j) && old(n.pauseChanged) &&
		n.state.Highest().Revision >= r && old(n.heldSince)
}

// applyEffects carries out the effects of a process. It fails the test if the process reverts to a lower revision, or
// reports one as confirmed that the store does not have.
func (w *simulation) applyEffects(i int, effects []Effect) {
	n := w.nodes[i]
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			var j int
			fmt.Sscan(string(e.To), &j)
			if _, ok := w.linked[linkKey(i, j)]; ok {
				w.queue[pair{i, j}] = append(w.queue[pair{i, j}], delivery{e.Message, w.now})
			}
		case ReadStore:
			w.readStore(i)
		case Activate:
			r := e.Snapshot.Revision
			for j := range simNodes {
				if j != i && r < n.highest && w.reachable(i, j, n.highest) {
					w.t.Fatalf("process %d puts revision %d in force after %d, which the reachable process %d holds", i, r, n.highest, j)
				}
			}
			if r < n.inForce {
				w.t.Fatalf("process %d reverts from revision %d to %d without a restart", i, n.inForce, r)
			}
			n.inForce, n.highest = r, max(n.highest, r)
		}
	}
	if n.state.Confirmed() && (n.inForce > w.latest.Revision || w.lastAnswered.Before(n.started)) {
		w.t.Fatalf("process %d reports revision %d as confirmed; the store has %d and last answered %v after the start of the process",
			i, n.inForce, w.latest.Revision, w.lastAnswered.Sub(n.started))
	}
}

// step advances the time by simStep. If slow, messages and store replies may be delayed.
func (w *simulation) step(slow bool) {
	w.now = w.now.Add(simStep)
	second := w.now.Sub(start)%time.Second == 0
	watcher := -1
	for i := range simNodes {
		if w.running(i) && !w.storeUnreachable[i] {
			watcher = i
		}
	}
	for i, n := range w.nodes {
		if n.paused && w.now.Sub(n.pauseChanged) >= simLinkTimeout {
			for j := range simNodes {
				w.unlink(i, j)
			}
		}
		if !w.running(i) {
			continue
		}
		before := n.state.Highest().Revision
		w.deliverStoreReads(i, slow)
		w.deliverMessages(i, slow)
		if second {
			if i == watcher {
				w.readStore(i)
			}
			w.dial(i)
			w.applyEffects(i, n.state.Tick(w.now))
		}
		if n.state.Highest().Revision != before {
			n.heldSince = w.now
		}
	}
}

// arrives reports whether a delivery arrives now.
func (w *simulation) arrives(f delivery, slow bool) bool {
	return !slow || w.now.Sub(f.at) >= simMaxDelay || w.rand.IntN(3) > 0
}

func (w *simulation) deliverStoreReads(i int, slow bool) {
	n := w.nodes[i]
	for len(n.storeReads) > 0 && w.arrives(n.storeReads[0], slow) {
		f := n.storeReads[0]
		n.storeReads = n.storeReads[1:]
		if f.at.After(w.lastAnswered) {
			w.lastAnswered = f.at
		}
		w.applyEffects(i, n.state.Store(f.at, w.now, *f.message.Snapshot))
	}
}

func (w *simulation) deliverMessages(i int, slow bool) {
	for j := range simNodes {
		for q := (pair{j, i}); len(w.queue[q]) > 0 && w.arrives(w.queue[q][0], slow); {
			f := w.queue[q][0]
			w.queue[q] = w.queue[q][1:]
			w.applyEffects(i, w.nodes[i].state.Receive(w.now, nodeID(j), f.message))
		}
	}
}

// dial links a process to all those that it can reach and has no link to.
func (w *simulation) dial(i int) {
	for j := range simNodes {
		if _, ok := w.linked[linkKey(i, j)]; ok || j == i {
			continue
		}
		if !w.running(j) || w.partitioned[linkKey(i, j)] {
			w.applyEffects(i, w.nodes[i].state.LinkDown(w.now, nodeID(j)))
			continue
		}
		w.linked[linkKey(i, j)] = w.now
		w.applyEffects(i, w.nodes[i].state.LinkUp(w.now, nodeID(j)))
		w.applyEffects(j, w.nodes[j].state.LinkUp(w.now, nodeID(i)))
	}
}

// writeRevision writes the next revision to the store through process i. If lost, the process does not get the reply.
func (w *simulation) writeRevision(i int, lost bool) {
	if !w.storeUp || !w.running(i) || w.storeUnreachable[i] {
		return
	}
	w.latest = copyOf(w.latest.Revision + 1)
	if !lost {
		w.readStore(i)
	}
}

// heal ends the partition of two processes.
func (w *simulation) heal(p pair) {
	if w.partitioned[p] {
		delete(w.partitioned, p)
		w.healed[p] = w.now
	}
}

// injectEvent injects or ends a random fault, or writes a revision.
func (w *simulation) injectEvent() {
	i, j := w.rand.IntN(simNodes), w.rand.IntN(simNodes)
	n := w.nodes[i]
	switch w.rand.IntN(12) {
	case 0, 1:
		w.killNode(i)
		w.startNode(i)
	case 2:
		w.killNode(i)
	case 3:
		if n.state == nil {
			w.startNode(i)
		}
	case 4:
		for j := range simNodes {
			if j != i && w.rand.IntN(2) == 0 {
				w.partitioned[linkKey(i, j)] = true
				w.unlink(i, j)
			}
		}
	case 5:
		w.heal(linkKey(i, j))
	case 6:
		for p := range w.partitioned {
			w.heal(p)
		}
	case 7:
		if n.state != nil {
			n.paused, n.pauseChanged = !n.paused, w.now
		}
	case 8:
		w.storeUp = !w.storeUp
	case 9:
		w.storeUnreachable[i] = !w.storeUnreachable[i]
	default:
		w.writeRevision(i, w.rand.IntN(3) == 0)
	}
}

// A restarted process has no stored state. It must not put an old revision in force, received from a stale peer or in a
// delayed reply, while a process with the newer revision is reachable.
func TestNoProcessReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := &simulation{
			t: t, now: start, storeUp: true, partitioned: map[pair]bool{}, linked: map[pair]time.Time{}, queue: map[pair][]delivery{},
			healed: map[pair]time.Time{},
			rand:   rand.New(rand.NewPCG(seed, 0)),
		}
		for i := range simNodes {
			w.nodes[i] = &node{}
			w.startNode(i)
		}
		for range rapid.IntRange(1, simEvents).Draw(t, "events") {
			w.injectEvent()
			for range w.rand.IntN(20) {
				w.step(true)
			}
		}
		w.recoverAndCheck()
	})
}

// recoverAndCheck ends all faults and checks that the store's latest revision is in force in all processes after 8 s.
func (w *simulation) recoverAndCheck() {
	w.storeUp, w.partitioned, w.storeUnreachable = true, map[pair]bool{}, [simNodes]bool{}
	for i, n := range w.nodes {
		if n.state == nil {
			w.startNode(i)
		}
		n.paused = false
		w.readStore(i)
	}
	for range int(8 * time.Second / simStep) {
		w.step(true)
	}
	for i, n := range w.nodes {
		force, ready := n.state.InUse()
		if !ready || force.Revision != w.latest.Revision || !n.state.Confirmed() {
			w.t.Fatalf("process %d after 8 s without faults: revision %d, ready %v, confirmed %v; want %d",
				i, force.Revision, ready, n.state.Confirmed(), w.latest.Revision)
		}
	}
}
