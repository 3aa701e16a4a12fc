package owner

import (
	"wagtailhoist/io/clock"
	"wagtailhoist/io/link"
)

// serveAgent reads an agent's reports and sends it its orders until its link is closed.
func (t *term) serveAgent(l *link.Link) {
	s := &session{number: t.lastSession.Add(1), link: l, queued: make(chan link.Orders, maxQueuedOrders)}
	t.sessions.Store(s, true)
	defer t.sessions.Delete(s)
	log := t.owner.Log.With("agent", string(l.Peer().Node), "fence", t.fence)
	log.Info("agent connected")
	go func() {
		// Without orders and leases, the link is of no use; the agent connects again.
		defer l.Close()
		for {
			select {
			case <-l.Done():
				return
			case o := <-s.queued:
				if err := l.Send(o); err != nil {
					log.Warn("orders not sent to the agent; closing the link", "error", err)
					return
				}
			}
		}
	}()
	for {
		frame, err := l.Receive()
		if err != nil {
			log.Info("link to the agent ended", "error", err)
			t.deliver(agentEvent{session: s})
			return
		}
		if report, ok := frame.(link.Report); ok {
			t.deliver(agentEvent{s, &report.Report, clock.Now()})
		}
	}
}

// deliver passes an event to the goroutine of run, or closes the link if the term has ended.
func (t *term) deliver(event agentEvent) {
	select {
	case t.agentEvents <- event:
	case <-t.done:
		event.session.link.Close()
	}
}
