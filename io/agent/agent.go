package agent

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"wagtailhoist/core/ledger"
	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

// Runner runs a request at the minion.
type Runner interface {
	Do(ctx context.Context, b link.Begin, body []byte) Result
	// Reach returns an error unless the minion takes connections.
	Reach(ctx context.Context) error
}

// Config exchanges the configuration over the agent's links.
type Config interface {
	// Linked and Unlinked report a link that the agent opened, Heard its frames.
	Linked(l *link.Link)
	Unlinked(l *link.Link)
	Heard(l *link.Link, f link.Frame)
	// Asked answers a process that opened the link.
	Asked(l *link.Link, f link.Config)
}

// Agent accepts attempts from entries and runs them at its minion.
type Agent struct {
	// Config is set before Join and Serve; nil means none.
	Config Config

	// record is what the agent announces; its state, load, sequence and revision are kept up to date.
	record model.Record
	runner Runner
	log    *slog.Logger

	mu    sync.Mutex
	book  *ledger.Ledger
	tasks map[model.Attempt]*task
	// bodies is the sum of the lengths of the request bodies that arrive or run.
	bodies int
	// changed is closed and replaced when the announced state changes.
	changed chan struct{}
}

// task is an attempt that holds a slot or has an answer.
type task struct {
	begin link.Begin
	// body collects the request's body; it is nil once the attempt runs.
	body *link.Body
	// accept sends the Accepted frame, unless the result comes first.
	accept *time.Timer
	// owner is the link that gets the answer: that of the Begin or the last Attach.
	owner  *link.Link
	result *Result
}

// acceptDelay is the time after which an attempt without a result is reported as accepted.
// Most requests are answered earlier, and the answer implies that the attempt was accepted.
const acceptDelay = 10 * time.Millisecond

// bodyRoom is the limit of request bodies at a time, in bytes; a single body is always taken.
const bodyRoom = 64 << 20

// New returns an agent that announces record and runs attempts with runner.
func New(record model.Record, runner Runner, log *slog.Logger) *Agent {
	return &Agent{
		record:  record,
		runner:  runner,
		log:     log,
		book:    ledger.New(record.Incarnation, record.Load.Slots, ledger.Retain),
		tasks:   map[model.Attempt]*task{},
		changed: make(chan struct{}),
	}
}

// Serve handles the frames of an entry until its link is closed.
func (a *Agent) Serve(l *link.Link) {
	defer a.leave(l)
	for {
		f, err := l.Receive()
		if err != nil {
			a.log.Debug("link closed", "peer", l.Peer().Node, "error", err)
			return
		}
		switch f := f.(type) {
		case link.Begin:
			a.begin(l, f)
		case link.Data:
			a.data(l, f)
		case link.Fence:
			a.fence(l, f)
		case link.Attach:
			a.attach(l, f)
		case link.Config:
			if a.Config != nil {
				a.Config.Asked(l, f)
			}
		case link.Done:
			a.done(f.Attempt)
		}
	}
}

func (a *Agent) begin(l *link.Link, b link.Begin) {
	body, err := link.NewBody(b.Attempt, b.Length, b.Sum, b.Body)
	a.mu.Lock()
	reason := a.book.Begin(time.Now(), b.Attempt, b.Incarnation, b.Deadline)
	switch {
	case reason != ledger.Accepted:
	case err != nil:
		a.book.Abandon(b.Attempt)
		reason = "body"
	case a.bodies > 0 && a.bodies+b.Length > bodyRoom:
		a.book.Abandon(b.Attempt)
		reason = ledger.Full
	}
	if reason == ledger.Accepted {
		b.Body = nil
		t := &task{begin: b, body: body, owner: l}
		if body.Whole() && !a.book.Start(time.Now(), b.Attempt) {
			reason = ledger.Late
		} else {
			a.tasks[b.Attempt] = t
			a.bodies += b.Length
			t.accept = time.AfterFunc(acceptDelay, func() { a.acceptLate(l, t) })
		}
		if reason == ledger.Accepted && body.Whole() {
			a.start(t)
		}
	}
	load, sequence := a.book.Load(), a.record.Sequence
	a.mu.Unlock()
	switch {
	case reason == ledger.Accepted:
	case reason == ledger.Duplicate:
		_ = l.Send(link.Accepted{Attempt: b.Attempt, Load: load})
	default:
		_ = l.Send(link.Refuse{Attempt: b.Attempt, Reason: string(reason), Load: load, Sequence: sequence})
	}
}

// acceptLate reports an attempt as accepted if it still holds its slot.
func (a *Agent) acceptLate(l *link.Link, t *task) {
	a.mu.Lock()
	held := a.tasks[t.begin.Attempt] == t && t.result == nil
	load := a.book.Load()
	a.mu.Unlock()
	if held {
		_ = l.Send(link.Accepted{Attempt: t.begin.Attempt, Load: load})
	}
}

func (a *Agent) data(l *link.Link, d link.Data) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tasks[d.Attempt]
	if !ok || t.body == nil || t.owner != l {
		return
	}
	if err := t.body.Add(d); err != nil {
		a.log.Warn("request body refused", "error", err)
		a.abandon(l, d.Attempt)
		return
	}
	if !t.body.Whole() {
		return
	}
	if !a.book.Start(time.Now(), d.Attempt) {
		a.abandon(l, d.Attempt)
		return
	}
	a.start(t)
}

// start runs an attempt whose body is whole; the caller holds the lock.
func (a *Agent) start(t *task) {
	body := t.body.Bytes()
	t.body = nil // the request's body must not stay in memory as long as the answer
	go a.run(t, body)
}

// abandon gives up an attempt whose body did not become whole in time; the caller holds the lock.
func (a *Agent) abandon(l *link.Link, at model.Attempt) {
	a.book.Abandon(at)
	a.forget(at)
	load := a.book.Load()
	go func() { _ = l.Send(link.Refuse{Attempt: at, Reason: "body", Load: load}) }()
}

func (a *Agent) run(t *task, body []byte) {
	ctx, cancel := context.WithDeadline(context.Background(), t.begin.Deadline)
	res := a.runner.Do(ctx, t.begin, body)
	cancel()
	a.mu.Lock()
	if res.Down && a.record.State == model.Ready {
		a.down()
	}
	for _, old := range a.book.Finish(t.begin.Attempt, len(res.Body)) {
		a.forget(old)
	}
	t.result = &res
	a.bodies -= t.begin.Length
	t.accept.Stop()
	owner, load := t.owner, a.book.Load()
	a.mu.Unlock()
	reply(owner, t.begin.Attempt, &res, load)
}

// reply sends a result over an entry's link; if the link breaks, the entry attaches again.
func reply(l *link.Link, at model.Attempt, res *Result, load model.Load) {
	if res.Err != nil {
		_ = l.Send(link.Fail{Attempt: at, Ran: res.Ran, Reason: res.Err.Error(), Load: load})
		return
	}
	err := l.Send(link.Answer{
		Attempt: at, Status: res.Status, Header: res.Header, Load: load,
		Length: len(res.Body), Sum: link.Sum(res.Body), Body: link.First(res.Body),
	})
	if err == nil {
		_ = l.SendRest(at, res.Body)
	}
}

func (a *Agent) fence(l *link.Link, f link.Fence) {
	a.mu.Lock()
	state := a.book.Fence(time.Now(), f.Attempt, f.Incarnation, f.Deadline)
	if state == ledger.NeverBegun {
		a.forget(f.Attempt)
	}
	a.mu.Unlock()
	_ = l.Send(link.Fenced{Attempt: f.Attempt, State: uint8(state)})
}

func (a *Agent) attach(l *link.Link, f link.Attach) {
	a.mu.Lock()
	t, ok := a.tasks[f.Attempt]
	state, load := a.book.State(f.Attempt), a.book.Load()
	var res *Result
	if ok {
		t.owner = l
		res = t.result
	}
	a.mu.Unlock()
	switch {
	case !ok:
		_ = l.Send(link.Fenced{Attempt: f.Attempt, State: uint8(state)})
	case res != nil:
		// A long answer must not keep this link's other frames from being read.
		go reply(l, f.Attempt, res, load)
	}
}

// done frees the answer of an attempt; an attempt that still runs keeps its place.
func (a *Agent) done(at model.Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t, ok := a.tasks[at]; ok && t.result != nil {
		a.book.Done(at)
		a.forget(at)
	}
}

// leave fences the attempts whose body was still arriving over a closed link.
func (a *Agent) leave(l *link.Link) {
	l.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	for at, t := range a.tasks {
		if t.owner == l && t.body != nil {
			a.book.Abandon(at)
			a.forget(at)
		}
	}
}

// forget drops the body and the answer of an attempt; the caller holds the lock.
func (a *Agent) forget(at model.Attempt) {
	if t, ok := a.tasks[at]; ok && t.body != nil {
		a.bodies -= t.begin.Length // it will not run
	}
	delete(a.tasks, at)
}

// Expire forgets attempts that are long past their deadline.
func (a *Agent) Expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.book.Expire(now) {
		a.forget(at)
	}
}
