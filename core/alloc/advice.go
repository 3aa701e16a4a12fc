package alloc

import (
	"fmt"
	"time"

	"wagtailhoist/core/model"
)

const (
	// ticketMargin is how long a ticket must still be valid: a placement is stored and ordered first.
	ticketMargin = 300 * time.Millisecond
	// askLimit bounds the workers that a query names; the service takes a time for each.
	askLimit = 12
)

// stepSlot is a step of an occurrence.
type stepSlot struct{ occurrence, step int }

func (t *task) stepSlot() stepSlot { return stepSlot{t.Occurrence, t.Step} }

// ticket allows a step on a worker.
type ticket struct {
	text  string
	until time.Time
}

// advice is what is known of the workers that may run a step.
type advice struct {
	tickets map[string]ticket
	// denied are the workers that may not run the step, which doesn't change.
	denied map[string]bool
}

// text returns the ticket for a worker, if any.
func (a *advice) text(worker string) string {
	if a == nil {
		return ""
	}
	return a.tickets[worker].text
}

func (a *advice) expire(worker string) {
	if a != nil {
		delete(a.tickets, worker)
	}
}

// AdviceQuery asks the advice service which workers may run a step.
type AdviceQuery struct {
	Job              model.JobID
	Occurrence, Step int
	Workers          []string
}

// Name returns the step's name: JOB.OCCURRENCE.STEP.
func (q *AdviceQuery) Name() string { return fmt.Sprintf("%s.%d.%d", q.Job, q.Occurrence, q.Step) }

// NextAdviceQuery returns the most urgent query of the last plan, and whether there is one.
func (s *Scheduler) NextAdviceQuery() (AdviceQuery, bool) {
	if len(s.questions) == 0 {
		return AdviceQuery{}, false
	}
	return s.questions[0], true
}

// ApplyAdvice takes the answer to a query that was asked at asked: the tickets by worker.
func (s *Scheduler) ApplyAdvice(q AdviceQuery, asked time.Time, tickets map[string]string, valid time.Duration) {
	j := s.jobs[q.Job]
	if j == nil {
		return
	}
	key := stepSlot{q.Occurrence, q.Step}
	a := j.tickets[key]
	if a == nil {
		a = &advice{tickets: map[string]ticket{}, denied: map[string]bool{}}
		j.tickets[key] = a
	}
	for _, worker := range q.Workers {
		if text, ok := tickets[worker]; ok {
			a.tickets[worker] = ticket{text, asked.Add(valid)}
		} else {
			a.denied[worker] = true
		}
	}
	s.changed = true
}

// advised returns those of the workers that have a valid ticket for the unit's step, and notes a query for the others.
func (p *plan) advised(u *unit, workers []*worker) []*worker {
	key := u.tasks[0].stepSlot()
	a := u.job.tickets[key]
	var allowed []*worker
	q := AdviceQuery{Job: u.job.job.ID, Occurrence: key.occurrence, Step: key.step}
	for _, w := range workers {
		if a != nil && a.denied[w.ID] {
			continue
		}
		if a != nil && p.now.Add(ticketMargin).Before(a.tickets[w.ID].until) {
			allowed = append(allowed, w)
			continue
		}
		if len(q.Workers) < askLimit && p.room[w].Contains(u.step.Allocation()) {
			q.Workers = append(q.Workers, w.ID)
		}
	}
	if len(q.Workers) > 0 && !p.asked(q) {
		p.questions = append(p.questions, q)
	}
	return allowed
}

// asked reports whether the plan has a query for the step already.
func (p *plan) asked(q AdviceQuery) bool {
	for i := range p.questions {
		if p.questions[i].Name() == q.Name() {
			return true
		}
	}
	return false
}
