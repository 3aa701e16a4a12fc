package admit

import (
	"container/list"
	"fmt"
	"time"

	"wagtailhoist/core/model"
)

const (
	// DefaultPlaces is the number of requests in progress while nothing is known of the agents' slots.
	DefaultPlaces = 64
	// DefaultBound is the number of waiting requests of a team.
	DefaultBound = 256
	// smoothing is the weight of one request in the observed service time.
	smoothing = 0.05
	// quick is the part of a team's requests that run no longer than its expected service time.
	// Requests of a team differ, and a mean would refuse the short ones for the long ones.
	quick = 0.1
	// maxTeams bounds the observed teams, whose names come with the requests.
	maxTeams = 1024
)

// Error texts begin with a fixed part up to a colon, by which refusals are counted.

// FullError reports that the team's queue is full.
type FullError struct {
	Team  model.Team
	Bound int
}

// Error describes the queue.
func (e *FullError) Error() string {
	return fmt.Sprintf("queue of the team is full: team %q has %d waiting requests", e.Team, e.Bound)
}

// Full tells the error from refusals that are not due to the team's own queue.
func (e *FullError) Full() bool { return true }

// LateError reports a request that can't finish by its deadline.
type LateError struct {
	Team model.Team
	// Need is the expected time for waiting and service, Left the time until the deadline.
	Need, Left time.Duration
}

// Error describes the times.
func (e *LateError) Error() string {
	return fmt.Sprintf("deadline can't be met: a request of team %q needs about %v and has %v left", e.Team, e.Need, e.Left)
}

// Ticket is a request that waits or runs.
type Ticket struct {
	Team     model.Team
	Deadline time.Time
	// Begun is when the request was admitted; zero while it waits.
	Begun time.Time

	// queue is the name of the queue that the request waits in.
	queue model.Team
	place *list.Element
	left  bool
}

// team is the queue of one team with waiting requests.
type team struct {
	name    model.Team
	waiting list.List
	// deficit is the number of requests that the team may still start in this round.
	deficit int
}

// Queue admits requests up to a number of places. Teams with waiting requests take turns by
// deficit round robin, each starting as many requests in a round as its weight says. It is
// not safe for concurrent use.
type Queue struct {
	// Places replaces DefaultPlaces if it is not 0; it may be changed at any time.
	Places int
	// Bound replaces DefaultBound if it is not 0.
	Bound int
	// Weights holds the weights of the declared teams. All others share the queue of the empty
	// name, with weight 1; while no team is declared, each has a queue of its own.
	Weights map[model.Team]int

	running int
	teams   map[model.Team]*list.Element
	// ring holds the teams with waiting requests; the first one's turn is next.
	ring list.List
	// mean is the smoothed time that requests ran, in seconds; 0 while unknown.
	mean float64
	// quick holds the time within which the quickest requests of each team ran, in seconds.
	quick map[model.Team]float64
	// total is the sum of the weights of the teams in the ring.
	total int
}

// Enter takes a new request. Its ticket is admitted already if Begun is set, and waits
// otherwise. The errors are FullError and LateError.
func (q *Queue) Enter(now time.Time, name model.Team, deadline time.Time) (*Ticket, error) {
	ticket := &Ticket{Team: name, Deadline: deadline, queue: q.declared(name)}
	name = ticket.queue
	element := q.teams[name]
	waiting := 0
	if element != nil {
		waiting = element.Value.(*team).waiting.Len()
	}
	free := q.running < q.places() && q.ring.Len() == 0
	need := time.Duration(q.quick[name] * float64(time.Second))
	switch {
	case !free:
		need += q.wait(name, waiting)
	case q.running == 0:
		need = 0 // an idle queue learns from the request that service has become faster
	}
	if left := deadline.Sub(now); left <= need {
		return nil, &LateError{name, need, left}
	}
	if free {
		q.begin(now, ticket)
		return ticket, nil
	}
	if bound := q.bound(); waiting >= bound {
		return nil, &FullError{name, bound}
	}
	if element == nil {
		if q.teams == nil {
			q.teams = map[model.Team]*list.Element{}
		}
		element = q.ring.PushBack(&team{name: name})
		q.teams[name] = element
		q.total += q.weight(name)
	}
	ticket.place = element.Value.(*team).waiting.PushBack(ticket)
	return ticket, nil
}

// Leave takes a request that has ended, or that gave up waiting; it may be called again.
func (q *Queue) Leave(now time.Time, ticket *Ticket) {
	if ticket.left {
		return
	}
	ticket.left = true
	if ticket.place != nil {
		q.remove(ticket)
		return
	}
	q.running--
	q.observe(ticket.queue, now.Sub(ticket.Begun).Seconds())
}

// observe takes the time that a request ran, in seconds.
func (q *Queue) observe(name model.Team, took float64) {
	if q.mean == 0 {
		q.mean = took
	}
	q.mean += smoothing * (took - q.mean)
	if q.quick == nil {
		q.quick = map[model.Team]float64{}
	}
	known, ok := q.quick[name]
	switch {
	case !ok:
		if len(q.quick) >= maxTeams {
			clear(q.quick)
		}
		known = took
	case took > known:
		known = min(took, known*(1+smoothing*quick)+1e-6)
	default:
		known = max(took, known*(1-smoothing*(1-quick)))
	}
	q.quick[name] = known
}

// Admit returns the waiting requests that may run now.
func (q *Queue) Admit(now time.Time) []*Ticket {
	var out []*Ticket
	for q.running < q.places() && q.ring.Len() > 0 {
		first := q.ring.Front()
		t := first.Value.(*team)
		if t.deficit < 1 {
			t.deficit = q.weight(t.name)
		}
		t.deficit--
		if t.deficit == 0 {
			q.ring.MoveToBack(first)
		}
		ticket := t.waiting.Front().Value.(*Ticket)
		q.remove(ticket)
		q.begin(now, ticket)
		out = append(out, ticket)
	}
	return out
}

// Waiting returns the number of waiting requests in the queue of the team.
func (q *Queue) Waiting(name model.Team) int {
	if element := q.teams[q.declared(name)]; element != nil {
		return element.Value.(*team).waiting.Len()
	}
	return 0
}

// Running returns the number of admitted requests.
func (q *Queue) Running() int { return q.running }

// wait estimates the time until a request behind others of its team gets a place.
func (q *Queue) wait(name model.Team, ahead int) time.Duration {
	weight, total := q.weight(name), q.total
	if q.teams[name] == nil {
		total += weight
	}
	turns := float64(ahead+1) * float64(total) / float64(weight)
	return time.Duration(turns * q.mean / float64(q.places()) * float64(time.Second))
}

func (q *Queue) begin(now time.Time, ticket *Ticket) {
	q.running++
	ticket.Begun = now
}

// remove takes a waiting request out; a team without waiting requests leaves the ring and
// loses the rest of its turn.
func (q *Queue) remove(ticket *Ticket) {
	element := q.teams[ticket.queue]
	t := element.Value.(*team)
	t.waiting.Remove(ticket.place)
	ticket.place = nil
	if t.waiting.Len() == 0 {
		q.ring.Remove(element)
		delete(q.teams, ticket.queue)
		q.total -= q.weight(ticket.queue)
	}
}

// SetWeights replaces the teams' weights.
func (q *Queue) SetWeights(weights map[model.Team]int) {
	q.Weights, q.total = weights, 0
	for e := q.ring.Front(); e != nil; e = e.Next() {
		q.total += q.weight(e.Value.(*team).name)
	}
}

// declared returns the name of the queue that a team waits in. Names come with the requests: if
// each had a queue, invented names would take the shares of declared teams, and all queues
// together would have no bound.
func (q *Queue) declared(name model.Team) model.Team {
	if _, ok := q.Weights[name]; ok || len(q.Weights) == 0 {
		return name
	}
	return ""
}

func (q *Queue) weight(name model.Team) int { return max(1, q.Weights[name]) }

func (q *Queue) places() int {
	if q.Places > 0 {
		return q.Places
	}
	return DefaultPlaces
}

func (q *Queue) bound() int {
	if q.Bound > 0 {
		return q.Bound
	}
	return DefaultBound
}
