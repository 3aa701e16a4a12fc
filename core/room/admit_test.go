package room

import (
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

var epoch = time.UnixMilli(1_000_000)

// waitForecast returns a forecast by which all tasks of queue q wait.
func waitForecast(fence, number uint64, wait time.Duration) Forecast {
	return Forecast{Fence: fence, Number: number, Queues: []QueueForecast{{
		Name: "q", Sizes: []Size{{}}, Objectives: []time.Duration{0}, Waits: []time.Duration{wait},
	}}}
}

func request(id int, limit time.Duration) *Request {
	return &Request{
		Job: model.JobID(fmt.Sprintf("%016x", id)), Team: "a", Queue: "q", Priority: 1, Sizes: []Size{{batch.Amount{CPU: 1000}, 1}},
		Objective: limit / 2, Limit: limit,
	}
}

// After the loss or the change of the owner, nothing may be refused by what a former one has said, and no answer that was
// under way meanwhile may bring that back.
func TestForecastIsUsedOnlyWhileItIsCurrent(t *testing.T) {
	const fence = 7
	tests := []struct {
		name   string
		update func(a *Admission)
		after  time.Duration
		fence  uint64
		want   bool
	}{
		{"current", func(a *Admission) { a.Update(epoch, epoch, waitForecast(fence, 1, time.Minute), fence) }, Validity, fence, true},
		{"none", func(*Admission) {}, 0, fence, false},
		{"expired", func(a *Admission) { a.Update(epoch, epoch, waitForecast(fence, 1, time.Minute), fence) }, Validity + 1, fence, false},
		{"another owner is elected", func(a *Admission) { a.Update(epoch, epoch, waitForecast(fence, 1, time.Minute), fence) }, 0, fence + 1, false},
		{"no owner", func(a *Admission) { a.Update(epoch, epoch, waitForecast(fence, 1, time.Minute), fence) }, 0, 0, false},
		{"from a former owner", func(a *Admission) { a.Update(epoch, epoch, waitForecast(fence-1, 1, time.Minute), fence) }, 0, fence, false},
		{"from an owner that isn't known yet", func(a *Admission) { a.Update(epoch, epoch, waitForecast(fence+1, 1, time.Minute), fence) }, 0, fence, false},
		{"overtaken by a later one", func(a *Admission) {
			a.Update(epoch, epoch, waitForecast(fence, 2, 0), fence)
			a.Update(epoch, epoch, waitForecast(fence, 1, time.Minute), fence)
		}, 0, fence, false},
		{"waited for a part of the time", func(a *Admission) {
			a.Update(epoch, epoch.Add(-5*time.Second), waitForecast(fence, 1, 15*time.Second), fence)
		}, 0, fence, false},
		{"was old when it was sent", func(a *Admission) {
			f := waitForecast(fence, 1, 11*time.Second)
			f.Age = time.Second
			a.Update(epoch, epoch, f, fence)
		}, 0, fence, false},
	}
	for _, test := range tests {
		var a Admission
		test.update(&a)
		if _, got := a.Decide(epoch.Add(test.after), test.fence, request(1, 10*time.Second)); got != test.want {
			t.Errorf("%s: got refused %v, want %v", test.name, got, test.want)
		}
	}
}

// Work that others rely on must never be refused: due and long-running work, guaranteed work, and work without an objective.
func TestJobsThatAreNeverRefused(t *testing.T) {
	queue := batch.Queue{Name: "q", Priority: 1, Stretch: 2, Target: time.Second}
	urgent := queue
	urgent.Priority = 0
	step := batch.Step{Count: 1, Estimate: time.Second}
	long := step
	long.LongRunning = true
	after := step
	after.After = []int{0}
	tests := []struct {
		name      string
		job       batch.Job
		guarantee int64
		want      bool
	}{
		{"ordinary", batch.Job{QueueConfig: queue, Steps: []batch.Step{step}}, 8, true},
		{"urgent without a guarantee", batch.Job{QueueConfig: urgent, Steps: []batch.Step{step}}, 0, true},
		{"urgent with a guarantee", batch.Job{QueueConfig: urgent, Steps: []batch.Step{step}}, 8, false},
		{"due later", batch.Job{QueueConfig: queue, Steps: []batch.Step{step}, Start: 1}, 0, false},
		{"repeated", batch.Job{QueueConfig: queue, Steps: []batch.Step{step}, Repeats: 2}, 0, false},
		{"long-running", batch.Job{QueueConfig: queue, Steps: []batch.Step{step, long}}, 0, false},
		{"without an objective", batch.Job{QueueConfig: batch.Queue{Name: "q", Priority: 1}, Steps: []batch.Step{step}}, 0, false},
		{"longer than it is of use", batch.Job{QueueConfig: batch.Queue{Name: "q", Priority: 1, Stretch: 0.2}, Steps: []batch.Step{step}}, 0, false},
	}
	for _, test := range tests {
		_, got := NewRequest(&test.job, test.guarantee, func(int) time.Duration { return time.Second })
		if got != test.want {
			t.Errorf("%s: got refusable %v, want %v", test.name, got, test.want)
		}
	}
	// Objective 2 * 2 s + 1 s; the chain of 2 s must start 2 s before three objectives have passed.
	r, _ := NewRequest(&batch.Job{QueueConfig: queue, Steps: []batch.Step{step, after}}, 0, func(int) time.Duration { return time.Second })
	if want := 13 * time.Second; r.Limit != want || len(r.Sizes) != 1 {
		t.Errorf("got limit %v and %d first steps, want %v and 1", r.Limit, len(r.Sizes), want)
	}
}

// A job of which one step can start in time must not be refused because another can't.
func TestOneStepInTimeIsEnough(t *testing.T) {
	var a Admission
	f := waitForecast(1, 1, time.Minute)
	f.Queues[0].Sizes[0] = Size{batch.Amount{GPU: 4}, 1}
	a.Update(epoch, epoch, f, 1)
	r := request(1, 10*time.Second)
	r.Sizes = []Size{{batch.Amount{GPU: 8}, 1}}
	if _, refused := a.Decide(epoch, 1, r); !refused {
		t.Error("a job whose only step has to wait was accepted, want a refusal")
	}
	r.Sizes = append(r.Sizes, Size{batch.Amount{GPU: 1}, 1})
	if _, refused := a.Decide(epoch, 1, r); refused {
		t.Error("a job with a step that needn't wait was refused")
	}
}

// While capacity is short, the forecast stays near the limit. Without hysteresis, a queue would be refused and admitted in turn.
func TestHysteresis(t *testing.T) {
	var a Admission
	number := uint64(0)
	decide := func(wait time.Duration) bool {
		number++
		a.Update(epoch, epoch, waitForecast(1, number, wait), 1)
		_, refused := a.Decide(epoch, 1, request(int(number), 10*time.Second))
		return refused
	}
	steps := []struct {
		wait time.Duration
		want bool
	}{{9900, false}, {10100, true}, {9900, true}, {8100, true}, {7900, false}, {9900, false}, {10100, true}}
	for i, step := range steps {
		if got := decide(step.wait * time.Millisecond); got != step.want {
			t.Errorf("step %d, forecast %d ms: got refused %v, want %v", i, step.wait, got, step.want)
		}
	}
	// A job whose limit is so long that it has room must not end the refusal of those with shorter ones.
	number++
	a.Update(epoch, epoch, waitForecast(1, number, 9900*time.Millisecond), 1)
	if _, refused := a.Decide(epoch, 1, request(1, 14*time.Second)); refused {
		t.Error("a job with a longer limit was refused below 80 % of it")
	}
	if !decide(9900 * time.Millisecond) {
		t.Error("a job with a longer limit has ended the refusal")
	}
	// Once nothing of the queue waits, the shortage is over.
	number++
	a.Update(epoch, epoch, Forecast{Fence: 1, Number: number}, 1)
	if decide(9900 * time.Millisecond) {
		t.Error("refused below the limit after the end of a shortage")
	}
	decide(10100 * time.Millisecond)
	// Another owner may count differently; what was refused under the former one says nothing.
	a.Update(epoch, epoch, waitForecast(2, 1, 9900*time.Millisecond), 2)
	if _, refused := a.Decide(epoch, 2, request(1, 10*time.Second)); refused {
		t.Error("refused below the limit under a new owner")
	}
}

// Callers that are refused at the same moment must not all return at the same moment, nor within a second, nor after more than 30 s;
// urgent queues and teams that use little return before others.
func TestRetryAfter(t *testing.T) {
	for _, wait := range []time.Duration{1001 * time.Millisecond, 20 * time.Second, time.Hour} {
		var a Admission
		f := waitForecast(1, 1, wait)
		f.Teams = []TeamShare{{"busy", 1}, {"a", 0.1}}
		a.Update(epoch, epoch, f, 1)
		perSecond := map[int64]int{}
		var mean [3]time.Duration
		const callers = 300
		for i := range callers {
			for class := range mean {
				r := request(i, time.Second)
				switch class {
				case 0:
					r.Priority = 0
				case 2:
					r.Team = "busy"
				}
				refusal, refused := a.Decide(epoch, 1, r)
				if !refused || refusal.RetryAfter < time.Second || refusal.RetryAfter > 30*time.Second {
					t.Fatalf("wait %v: got refused %v, retry after %v, want 1 to 30 s", wait, refused, refusal.RetryAfter)
				}
				mean[class] += refusal.RetryAfter / callers
				if class == 1 {
					perSecond[int64(refusal.RetryAfter/(100*time.Millisecond))]++
				}
			}
		}
		if mean[0] >= mean[1] || mean[1] >= mean[2] {
			t.Errorf("wait %v: got means %v for urgent work, a team with little use, and one with much; want them in this order", wait, mean)
		}
		for at, n := range perSecond {
			if wait > 10*time.Second && n > callers/4 {
				t.Errorf("wait %v: %d of %d callers return within 100 ms after %d ms", wait, n, callers, at*100)
			}
		}
	}
}
