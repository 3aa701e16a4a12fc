package alloc

import (
	"fmt"
	"time"

	"wagtailhoist/core/model"
)

const (
	// minTicketValidity is how long a ticket must still be valid when it is used: the placement has to be stored and ordered.
	minTicketValidity = 300 * time.Millisecond
	// maxQueryWorkers limits the workers in a query. The service's response time grows with their number.
	maxQueryWorkers = 12
)

// stepKey identifies a step of an occurrence within its job.
type stepKey struct{ occurrence, step int }

func (t *task) stepKey() stepKey { return stepKey{t.Occurrence, t.Step} }

// ticket permits the tasks of a step to run on a worker.
type ticket struct {
	ticketText string
	validUntil time.Time
}

// stepAdvice holds the advice service's answers for a step, by worker.
type stepAdvice struct {
	tickets map[string]ticket
	// denied are the workers that may not run the step. A denial is final.
	denied map[string]bool
}

// ticketText returns the ticket for a worker, or an empty string if there is none.
func (a *stepAdvice) ticketText(worker string) string {
	if a == nil {
		return ""
	}
	return a.tickets[worker].ticketText
}

// discardTicket removes the ticket for a worker that has refused it.
func (a *stepAdvice) discardTicket(worker string) {
	if a != nil {
		delete(a.tickets, worker)
	}
}

// AdviceQuery is a query to the advice service: which of the workers may run a step.
type AdviceQuery struct {
	Job              model.JobID
	Occurrence, Step int
	Workers          []string
}

// Name returns the name of the step in the query: JOB.OCCURRENCE.STEP.
func (q *AdviceQuery) Name() string { return fmt.Sprintf("%s.%d.%d", q.Job, q.Occurrence, q.Step) }

// NextAdviceQuery returns the most urgent query of the last plan, and whether there is one.
func (s *Scheduler) NextAdviceQuery() (AdviceQuery, bool) {
	if len(s.adviceQueries) == 0 {
		return AdviceQuery{}, false
	}
	return s.adviceQueries[0], true
}

// ApplyAdvice applies the answer to a query that was sent at sentAt: tickets holds the tickets by worker, which expire
// at sentAt plus valid. Workers of the query without a ticket are denied.
func (s *Scheduler) ApplyAdvice(q AdviceQuery, sentAt time.Time, tickets map[string]string, valid time.Duration) {
	j := s.jobs[q.Job]
	if j == nil {
		return
	}
	key := stepKey{q.Occurrence, q.Step}
	a := j.advice[key]
	if a == nil {
		a = &stepAdvice{tickets: map[string]ticket{}, denied: map[string]bool{}}
		j.advice[key] = a
	}
	for _, worker := range q.Workers {
		if text, ok := tickets[worker]; ok {
			a.tickets[worker] = ticket{text, sentAt.Add(valid)}
		} else {
			a.denied[worker] = true
		}
	}
	s.needsPlan = true
}

// workersWithTicket returns the workers with a valid ticket for the step. It adds a query for those that have room for a task
// and no valid ticket, and were not denied.
func (p *plan) workersWithTicket(ps *pendingStep, workers []*worker) []*worker {
	key := ps.tasks[0].stepKey()
	a := ps.job.advice[key]
	var allowed []*worker
	q := AdviceQuery{Job: ps.job.job.ID, Occurrence: key.occurrence, Step: key.step}
	for _, w := range workers {
		if a != nil && a.denied[w.ID] {
			continue
		}
		if a != nil && p.now.Add(minTicketValidity).Before(a.tickets[w.ID].validUntil) {
			allowed = append(allowed, w)
			continue
		}
		if len(q.Workers) < maxQueryWorkers && p.free[w.index].Contains(ps.step.Allocation()) {
			q.Workers = append(q.Workers, w.ID)
		}
	}
	if len(q.Workers) > 0 && !p.hasQuery(q) {
		p.adviceQueries = append(p.adviceQueries, q)
	}
	return allowed
}

// hasQuery reports whether the plan already has a query for the same step.
func (p *plan) hasQuery(q AdviceQuery) bool {
	for i := range p.adviceQueries {
		if p.adviceQueries[i].Name() == q.Name() {
			return true
		}
	}
	return false
}
