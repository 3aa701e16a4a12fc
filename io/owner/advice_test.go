package owner

import (
	"context"
	"testing"
	"time"

	"wagtailhoist/core/batch"
)

// ticketOffice is an advice service that allows all workers.
type ticketOffice struct{}

func (ticketOffice) Advise(_ context.Context, _ string, workers []string) (map[string]string, time.Duration, error) {
	tickets := map[string]string{}
	for _, w := range workers {
		tickets[w] = "ticket for " + w
	}
	return tickets, time.Minute, nil
}

// The owner has to receive the advice service's answers; otherwise a queue that requires tickets never starts anything.
func TestTasksThatRequireTicketsStart(t *testing.T) {
	s := newMemoryStore()
	queue := batch.Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, Target: time.Second, RequiresTicket: true}
	policy := batch.Policy{Queues: map[string]batch.Queue{"q": queue}}
	e := newEntry(t, s, "e1", policy, func(o *Owner) { o.Advisor = ticketOffice{} })
	waitFor(t, "election", func() bool { return ownerID(t, s) == "e1" })
	step := batch.Step{Count: 1, Need: batch.Amount{CPU: 1000, Memory: 100, GPU: 1}, Estimate: time.Second}
	putJob(t, s, "j1", queue, step)
	var agent *agentLink
	var got batch.StartOrder
	waitFor(t, "start order", func() bool {
		if agent == nil {
			agent = dialOwner(t, e.Self.Address, "n1")
		}
		o, err := agent.report()
		if err != nil {
			agent = nil
			return false
		}
		if len(o.Starts) == 0 {
			return false
		}
		got = o.Starts[0]
		return true
	})
	if want := "ticket for " + workerOf("n1").ID; got.Ticket != want {
		t.Errorf("ticket of the start order: got %q, want %q", got.Ticket, want)
	}
}
