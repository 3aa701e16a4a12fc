package admit

import (
	"container/list"
	"fmt"
	"time"

	"wagtailhoist/core/model"
)

const (
	// DefaultMaxRunning limits the running requests while the number of the agents' slots is unknown.
	DefaultMaxRunning = 64
	// DefaultMaxWaiting limits the waiting requests of one queue.
	DefaultMaxWaiting = 256
	// smoothingWeight is the weight of one request in the smoothed service times.
	smoothingWeight = 0.05
	// lowQuantile is the quantile of a team's service times that is taken as the service time of its next request.
	// The mean would refuse short requests of a team that also sends long ones.
	lowQuantile = 0.1
	// maxObservedTeams bounds the memory of service times, because callers choose the team names in requests.
	maxObservedTeams = 1024
)

// The text of each error up to the colon is fixed: refusals are counted under it.

// FullError reports that the team's queue is full.
type FullError struct {
	// Team is the name of the queue, which is empty for the queue that undeclared teams share.
	Team model.Team
	// Waiting is the number of waiting requests, which is the limit of the queue.
	Waiting int
}

// Error names the team and the number of its waiting requests.
func (e *FullError) Error() string {
	return fmt.Sprintf("queue of the team is full: team %q has %d waiting requests", e.Team, e.Waiting)
}

// Full marks refusals that are due to the limit of the team's own queue.
func (e *FullError) Full() bool { return true }

// DeadlineError reports a request that is not expected to finish by its deadline.
type DeadlineError struct {
	// Team is the name of the queue, which is empty for the queue that undeclared teams share.
	Team model.Team
	// Expected is the estimated time for waiting and service; Remaining is the time until the deadline.
	Expected, Remaining time.Duration
}

// Error names the team, the expected time and the remaining time.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("deadline can't be met: a request of team %q needs about %v and has %v left", e.Team, e.Expected, e.Remaining)
}

// Ticket is a request that waits or runs.
type Ticket struct {
	Team     model.Team
	Deadline time.Time
	// AdmittedAt is the time at which the request was admitted; it is zero while the request waits.
	AdmittedAt time.Time

	// queue is the name of the queue that the request belongs to.
	queue model.Team
	// position is the element of the request in its queue; it is nil once the request was admitted.
	position *list.Element
	// hasLeft is set by Queue.Leave.
	hasLeft bool
}

// teamQueue holds the waiting requests of one team; it exists only while there are any.
type teamQueue struct {
	name    model.Team
	waiting list.List
	// deficit is the number of requests that the team may still start in this round of the deficit round robin.
	deficit int
}

// Queue admits requests up to a limit of running requests. Teams with waiting requests take turns by deficit round
// robin: in each round a team starts as many requests as its weight. A Queue is not safe for concurrent use.
type Queue struct {
	// MaxRunning is the limit of running requests; 0 means DefaultMaxRunning. It may be changed at any time.
	MaxRunning int
	// MaxWaiting is the limit of waiting requests in each queue; 0 means DefaultMaxWaiting.
	MaxWaiting int
	// Weights holds the weights of the declared teams. All other teams share one queue, which has an empty name and
	// weight 1. While no team is declared, each team has its own queue. Use SetWeights to change the weights while
	// requests wait.
	Weights map[model.Team]int

	running int
	teams   map[model.Team]*list.Element
	// ring holds the teams with waiting requests, in the order of their turns.
	ring list.List
	// meanSeconds is the smoothed service time of all requests; 0 while unknown.
	meanSeconds float64
	// lowQuantile holds, for each queue name, an estimate in seconds of the quantile that the constant of this name gives.
	lowQuantile map[model.Team]float64
	// totalWeight is the sum of the weights of the teams in the ring.
	totalWeight int
}

// Enter adds a request. The request may run at once if AdmittedAt is set in its ticket; otherwise it waits until Admit
// returns its ticket. The error is a FullError or a DeadlineError.
func (q *Queue) Enter(now time.Time, name model.Team, deadline time.Time) (*Ticket, error) {
	ticket := &Ticket{Team: name, Deadline: deadline, queue: q.queueName(name)}
	name = ticket.queue
	element := q.teams[name]
	waiting := 0
	if element != nil {
		waiting = element.Value.(*teamQueue).waiting.Len()
	}
	canRunNow := q.running < q.maxRunning() && q.ring.Len() == 0
	expected := time.Duration(q.lowQuantile[name] * float64(time.Second))
	switch {
	case !canRunNow:
		expected += q.expectedWait(name, waiting)
	case q.running == 0:
		expected = 0 // Otherwise an idle queue would refuse every request and never observe that service is fast again.
	}
	if remaining := deadline.Sub(now); remaining <= expected {
		return nil, &DeadlineError{name, expected, remaining}
	}
	if canRunNow {
		q.markRunning(now, ticket)
		return ticket, nil
	}
	if maxWaiting := q.maxWaiting(); waiting >= maxWaiting {
		return nil, &FullError{name, maxWaiting}
	}
	if element == nil {
		if q.teams == nil {
			q.teams = map[model.Team]*list.Element{}
		}
		element = q.ring.PushBack(&teamQueue{name: name})
		q.teams[name] = element
		q.totalWeight += q.weight(name)
	}
	ticket.position = element.Value.(*teamQueue).waiting.PushBack(ticket)
	return ticket, nil
}

// Leave removes a request that has ended, or that stops waiting. Further calls for the same ticket do nothing.
func (q *Queue) Leave(now time.Time, ticket *Ticket) {
	if ticket.hasLeft {
		return
	}
	ticket.hasLeft = true
	if ticket.position != nil {
		q.removeWaiting(ticket)
		return
	}
	q.running--
	q.observeServiceTime(ticket.queue, now.Sub(ticket.AdmittedAt).Seconds())
}

// observeServiceTime updates the service times of all requests and of one queue with the time that a request ran.
func (q *Queue) observeServiceTime(name model.Team, seconds float64) {
	if q.meanSeconds == 0 {
		q.meanSeconds = seconds
	}
	q.meanSeconds += smoothingWeight * (seconds - q.meanSeconds)
	if q.lowQuantile == nil {
		q.lowQuantile = map[model.Team]float64{}
	}
	estimate, ok := q.lowQuantile[name]
	switch {
	case !ok:
		if len(q.lowQuantile) >= maxObservedTeams {
			clear(q.lowQuantile)
		}
		estimate = seconds
	case seconds > estimate:
		estimate = min(seconds, estimate*(1+smoothingWeight*lowQuantile)+1e-6)
	default:
		estimate = max(seconds, estimate*(1-smoothingWeight*(1-lowQuantile)))
	}
	q.lowQuantile[name] = estimate
}

// Admit admits waiting requests up to the limit of running requests, and returns them.
func (q *Queue) Admit(now time.Time) []*Ticket {
	var admitted []*Ticket
	for q.running < q.maxRunning() && q.ring.Len() > 0 {
		first := q.ring.Front()
		t := first.Value.(*teamQueue)
		if t.deficit < 1 {
			t.deficit = q.weight(t.name)
		}
		t.deficit--
		if t.deficit == 0 {
			q.ring.MoveToBack(first)
		}
		ticket := t.waiting.Front().Value.(*Ticket)
		q.removeWaiting(ticket)
		q.markRunning(now, ticket)
		admitted = append(admitted, ticket)
	}
	return admitted
}

// Waiting returns the number of waiting requests in the queue of the team.
func (q *Queue) Waiting(name model.Team) int {
	if element := q.teams[q.queueName(name)]; element != nil {
		return element.Value.(*teamQueue).waiting.Len()
	}
	return 0
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// expectedWait estimates the time until a request is admitted that has the given number of waiting requests of its queue
// ahead of it, from the number of requests of all queues that are admitted until then.
func (q *Queue) expectedWait(name model.Team, ahead int) time.Duration {
	weight, totalWeight := q.weight(name), q.totalWeight
	if q.teams[name] == nil {
		totalWeight += weight
	}
	startsUntilTurn := float64(ahead+1) * float64(totalWeight) / float64(weight)
	return time.Duration(startsUntilTurn * q.meanSeconds / float64(q.maxRunning()) * float64(time.Second))
}

// markRunning counts the request as running since now.
func (q *Queue) markRunning(now time.Time, ticket *Ticket) {
	q.running++
	ticket.AdmittedAt = now
}

// removeWaiting removes a waiting request from its queue. A team without waiting requests leaves the ring and loses the
// rest of its turn.
func (q *Queue) removeWaiting(ticket *Ticket) {
	element := q.teams[ticket.queue]
	t := element.Value.(*teamQueue)
	t.waiting.Remove(ticket.position)
	ticket.position = nil
	if t.waiting.Len() == 0 {
		q.ring.Remove(element)
		delete(q.teams, ticket.queue)
		q.totalWeight -= q.weight(ticket.queue)
	}
}

// SetWeights replaces the weights of the declared teams.
func (q *Queue) SetWeights(weights map[model.Team]int) {
	q.Weights, q.totalWeight = weights, 0
	for e := q.ring.Front(); e != nil; e = e.Next() {
		q.totalWeight += q.weight(e.Value.(*teamQueue).name)
	}
}

// queueName returns the name of the queue of a team. Callers choose the team names in requests: if each name had a queue,
// invented names would take the shares of declared teams, and the number of waiting requests would have no limit.
func (q *Queue) queueName(name model.Team) model.Team {
	if _, ok := q.Weights[name]; ok || len(q.Weights) == 0 {
		return name
	}
	return ""
}

func (q *Queue) weight(name model.Team) int { return max(1, q.Weights[name]) }

func (q *Queue) maxRunning() int {
	if q.MaxRunning > 0 {
		return q.MaxRunning
	}
	return DefaultMaxRunning
}

func (q *Queue) maxWaiting() int {
	if q.MaxWaiting > 0 {
		return q.MaxWaiting
	}
	return DefaultMaxWaiting
}
