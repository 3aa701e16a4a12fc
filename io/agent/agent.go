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

// Runner runs requests at the minion.
type Runner interface {
	// Do runs the request of b with the body.
	Do(ctx context.Context, b link.Begin, body []byte) Result
	// CheckReachable returns an error unless the minion accepts a connection.
	CheckReachable(ctx context.Context) error
}

// Config exchanges configuration revisions over the agent's links.
type Config interface {
	// AddLink is called when the agent has opened a link.
	AddLink(l *link.Link)
	// RemoveLink is called when a link that the agent opened is closed.
	RemoveLink(l *link.Link)
	// HandleFrame is called with each frame from a link that the agent opened.
	HandleFrame(l *link.Link, f link.Frame)
	// HandleRequest answers a configuration frame from a process that opened the link.
	HandleRequest(l *link.Link, f link.Config)
}

// Agent accepts attempts from entries and runs them at its minion.
type Agent struct {
	// Config must be set before Join and Serve; nil disables the exchange.
	Config Config

	// record is what the agent announces. Its state, load, sequence and revision change.
	record model.Record
	runner Runner
	log    *slog.Logger

	mu            sync.Mutex
	attemptLedger *ledger.Ledger
	executions    map[model.Attempt]*execution
	// bodyBytes is the total length of the request bodies of attempts that are being received or run.
	bodyBytes int
	// changed is closed and replaced when the announced state changes.
	changed chan struct{}
}

// execution is an attempt that holds a slot or whose result is retained.
type execution struct {
	begin link.Begin
	// body collects the request body; it is nil once the attempt runs.
	body *link.Body
	// acceptTimer sends the Accepted frame if there is no result within acceptDelay.
	acceptTimer *time.Timer
	// replyLink is the link that the result is sent to: that of the Begin frame or of the last Attach frame.
	replyLink *link.Link
	result    *Result
}

// acceptDelay is how long an attempt runs before it is reported as accepted. Most requests are answered earlier, and an
// answer implies that the attempt was accepted.
const acceptDelay = 10 * time.Millisecond

// maxTotalBodyBytes limits the total length of request bodies in memory; a single body is always accepted.
const maxTotalBodyBytes = 64 << 20

// New returns an agent that announces record and runs attempts with runner.
func New(record model.Record, runner Runner, log *slog.Logger) *Agent {
	return &Agent{
		record:        record,
		runner:        runner,
		log:           log,
		attemptLedger: ledger.New(record.Incarnation, record.Load.Slots, ledger.DefaultAnswerBytes),
		executions:    map[model.Attempt]*execution{},
		changed:       make(chan struct{}),
	}
}

// Serve handles the frames of an entry until its link is closed.
func (a *Agent) Serve(l *link.Link) {
	defer a.handleLinkClosed(l)
	for {
		f, err := l.Receive()
		if err != nil {
			a.log.Debug("link from entry closed", "peer", l.Peer().Node, "error", err)
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
				a.Config.HandleRequest(l, f)
			}
		case link.Done:
			a.done(f.Attempt)
		}
	}
}

// begin handles a Begin frame: it starts the attempt, waits for the rest of its body, or refuses it.
func (a *Agent) begin(l *link.Link, b link.Begin) {
	body, err := link.NewBody(b.Attempt, b.Length, b.Sum, b.Body)
	a.mu.Lock()
	reason := a.attemptLedger.Begin(time.Now(), b.Attempt, b.Incarnation, b.Deadline)
	switch {
	case reason != ledger.Accepted:
	case err != nil:
		a.attemptLedger.Abandon(b.Attempt)
		reason = "body"
	case a.bodyBytes > 0 && a.bodyBytes+b.Length > maxTotalBodyBytes:
		a.attemptLedger.Abandon(b.Attempt)
		reason = ledger.Full
	}
	if reason == ledger.Accepted {
		b.Body = nil
		e := &execution{begin: b, body: body, replyLink: l}
		if body.Complete() && !a.attemptLedger.Start(time.Now(), b.Attempt) {
			reason = ledger.DeadlinePassed
		} else {
			a.executions[b.Attempt] = e
			a.bodyBytes += b.Length
			e.acceptTimer = time.AfterFunc(acceptDelay, func() { a.sendAccepted(l, e) })
		}
		if reason == ledger.Accepted && body.Complete() {
			a.start(e)
		}
	}
	load, sequence := a.attemptLedger.Load(), a.record.Sequence
	a.mu.Unlock()
	switch {
	case reason == ledger.Accepted:
	case reason == ledger.Duplicate:
		_ = l.Send(link.Accepted{Attempt: b.Attempt, Load: load})
	default:
		_ = l.Send(link.Refuse{Attempt: b.Attempt, Reason: string(reason), Load: load, Sequence: sequence})
	}
}

// sendAccepted reports the attempt as accepted if it is still being received or run.
func (a *Agent) sendAccepted(l *link.Link, e *execution) {
	a.mu.Lock()
	unfinished := a.executions[e.begin.Attempt] == e && e.result == nil
	load := a.attemptLedger.Load()
	a.mu.Unlock()
	if unfinished {
		_ = l.Send(link.Accepted{Attempt: e.begin.Attempt, Load: load})
	}
}

// data handles a Data frame, a part of a request body, and starts the attempt when its body is complete.
func (a *Agent) data(l *link.Link, d link.Data) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.executions[d.Attempt]
	if !ok || e.body == nil || e.replyLink != l {
		return
	}
	if err := e.body.Add(d); err != nil {
		a.log.Warn("attempt refused: request body is corrupt", "error", err)
		a.refuseBody(l, d.Attempt)
		return
	}
	if !e.body.Complete() {
		return
	}
	if !a.attemptLedger.Start(time.Now(), d.Attempt) {
		a.refuseBody(l, d.Attempt)
		return
	}
	a.start(e)
}

// start runs an attempt whose body is complete; the caller holds the lock.
func (a *Agent) start(e *execution) {
	body := e.body.Bytes()
	e.body = nil // frees the request body while the result is retained
	go a.run(e, body)
}

// refuseBody refuses an attempt whose body is corrupt or was not complete in time; the caller holds the lock.
func (a *Agent) refuseBody(l *link.Link, attempt model.Attempt) {
	a.attemptLedger.Abandon(attempt)
	a.removeExecution(attempt)
	load := a.attemptLedger.Load()
	go func() { _ = l.Send(link.Refuse{Attempt: attempt, Reason: "body", Load: load}) }()
}

// run runs the attempt at the minion and sends the result to its entry.
func (a *Agent) run(e *execution, body []byte) {
	ctx, cancel := context.WithDeadline(context.Background(), e.begin.Deadline)
	res := a.runner.Do(ctx, e.begin, body)
	cancel()
	a.mu.Lock()
	if res.Down && a.record.State == model.Ready {
		a.markMinionDown()
	}
	for _, dropped := range a.attemptLedger.Finish(e.begin.Attempt, len(res.Body)) {
		a.removeExecution(dropped)
	}
	e.result = &res
	a.bodyBytes -= e.begin.Length
	e.acceptTimer.Stop()
	replyLink, load := e.replyLink, a.attemptLedger.Load()
	a.mu.Unlock()
	sendResult(replyLink, e.begin.Attempt, &res, load)
}

// sendResult sends a result to an entry. It ignores errors: if the link breaks, the entry attaches over another one.
func sendResult(l *link.Link, attempt model.Attempt, res *Result, load model.Load) {
	if res.Err != nil {
		_ = l.Send(link.Fail{Attempt: attempt, Ran: res.Ran, Reason: res.Err.Error(), Load: load})
		return
	}
	err := l.Send(link.Answer{
		Attempt: attempt, Status: res.Status, Header: res.Header, Load: load,
		Length: len(res.Body), Sum: link.Sum(res.Body), Body: link.FirstFramePart(res.Body),
	})
	if err == nil {
		_ = l.SendBodyFrames(attempt, res.Body)
	}
}

// fence handles a Fence frame: it reports the state of the attempt, which will not start any more if it has not yet.
func (a *Agent) fence(l *link.Link, f link.Fence) {
	a.mu.Lock()
	state := a.attemptLedger.Fence(time.Now(), f.Attempt, f.Incarnation, f.Deadline)
	if state == ledger.NeverBegun {
		a.removeExecution(f.Attempt)
	}
	a.mu.Unlock()
	_ = l.Send(link.Fenced{Attempt: f.Attempt, State: uint8(state)})
}

// attach handles an Attach frame: the result of the attempt goes to this link from now on.
func (a *Agent) attach(l *link.Link, f link.Attach) {
	a.mu.Lock()
	e, ok := a.executions[f.Attempt]
	state, load := a.attemptLedger.State(f.Attempt), a.attemptLedger.Load()
	var res *Result
	if ok {
		e.replyLink = l
		res = e.result
	}
	a.mu.Unlock()
	switch {
	case !ok:
		_ = l.Send(link.Fenced{Attempt: f.Attempt, State: uint8(state)})
	case res != nil:
		// Sending a long answer must not delay the reading of the link's other frames.
		go sendResult(l, f.Attempt, res, load)
	}
}

// done handles a Done frame, the acknowledgement of a result: it frees the result. A running attempt is not affected.
func (a *Agent) done(attempt model.Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.executions[attempt]; ok && e.result != nil {
		a.attemptLedger.ReleaseAnswer(attempt)
		a.removeExecution(attempt)
	}
}

// handleLinkClosed closes the link and fences the attempts whose body was still arriving over it.
func (a *Agent) handleLinkClosed(l *link.Link) {
	l.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	for attempt, e := range a.executions {
		if e.replyLink == l && e.body != nil {
			a.attemptLedger.Abandon(attempt)
			a.removeExecution(attempt)
		}
	}
}

// removeExecution frees the body and the result of an attempt; the caller holds the lock.
func (a *Agent) removeExecution(attempt model.Attempt) {
	if e, ok := a.executions[attempt]; ok && e.body != nil {
		a.bodyBytes -= e.begin.Length // once the body is complete, run subtracts it
	}
	delete(a.executions, attempt)
}

// Expire removes attempts whose deadline passed more than ledger.Keep ago.
func (a *Agent) Expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, attempt := range a.attemptLedger.Expire(now) {
		a.removeExecution(attempt)
	}
}
