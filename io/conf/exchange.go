package conf

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"wagtailhoist/core/config"
	"wagtailhoist/core/decl"
	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

const (
	// probeInterval is the pause between two looks at an unlinked process. With probeLimit it stays
	// below config.ProbeTime, so that the last failure still counts when the next one is awaited.
	probeInterval = 250 * time.Millisecond
	// probeLimit bounds one look at a process.
	probeLimit = 2 * time.Second
	// probeTime is how long a link to an unlinked process is kept for its answer.
	probeTime = 5 * time.Second
	// leftTime is how long a planned stop is remembered.
	leftTime = 5 * time.Minute
	// maxProbes bounds the processes that are looked at.
	maxProbes = 64
)

// Exchange carries the manager's messages over the links of its process.
type Exchange struct {
	Manager *Manager
	// Agent says that this process is an agent.
	Agent bool
	// OnDrain is called when an entry passes on the command to drain this process.
	OnDrain func()
	Log     *slog.Logger

	last  zipped
	mu    sync.Mutex
	downs map[*link.Link]func()
	peers map[model.NodeID]*link.Link
	// known are the entries that others named.
	known []link.Entry
	// left are the processes whose last link ended while they were draining.
	left map[model.NodeID]time.Time
}

// sender sends messages over a link.
type sender struct {
	link *link.Link
	last *zipped
}

// zipped keeps the last compressed document: an entry sends it to thousands of agents.
type zipped struct {
	mu       sync.Mutex
	document string
	data     []byte
}

func (z *zipped) compress(document string) ([]byte, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.document == document {
		return z.data, nil
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := io.WriteString(w, document); err != nil {
		return nil, fmt.Errorf("compressing the document: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compressing the document: %w", err)
	}
	z.document, z.data = document, buf.Bytes()
	return z.data, nil
}

// Send compresses the document: 9,300 changes a day of 60 KB each would take 6.5 KB/s of a
// node's 3 KB/s.
func (s sender) Send(m config.Message) error {
	f, err := pack(m, s.last)
	if err != nil {
		return err
	}
	return s.link.Send(f)
}

func pack(m config.Message, last *zipped) (link.Config, error) {
	f := link.Config{Message: m}
	if m.Copy == nil || m.Copy.Document == "" {
		return f, nil
	}
	data, err := last.compress(m.Copy.Document)
	if err != nil {
		return f, err
	}
	c := *m.Copy
	c.Document = ""
	f.Message.Copy, f.Document = &c, data
	return f, nil
}

func unpack(f link.Config) (config.Message, error) {
	m := f.Message
	if m.Copy == nil || len(f.Document) == 0 {
		return m, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(f.Document))
	if err != nil {
		return m, fmt.Errorf("reading the compressed document: %w", err)
	}
	// A document above the limit is cut and then fails to parse, instead of filling the memory.
	data, err := io.ReadAll(io.LimitReader(r, decl.MaxDocument+1))
	if err != nil {
		return m, fmt.Errorf("reading the compressed document: %w", err)
	}
	if len(data) > decl.MaxDocument {
		return m, fmt.Errorf("the document is larger than %d bytes", decl.MaxDocument)
	}
	c := *m.Copy
	c.Document = string(data)
	m.Copy = &c
	return m, nil
}

// Linked reports a link over which both ends repeat what they hold.
func (x *Exchange) Linked(l *link.Link) {
	id := l.Peer().Node
	// Links with an agent at an end are quiet; entries pass on how fresh their contact with the store is.
	quiet := x.Agent || l.Peer().Role == link.RoleAgent
	down := x.Manager.Up(id, sender{l, &x.last}, quiet)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.downs == nil {
		x.downs, x.peers = map[*link.Link]func(){}, map[model.NodeID]*link.Link{}
	}
	x.downs[l], x.peers[id] = down, l
}

// Unlinked reports the end of a link.
func (x *Exchange) Unlinked(l *link.Link) {
	id := l.Peer().Node
	_, peers := x.Manager.Status()
	x.mu.Lock()
	down := x.downs[l]
	delete(x.downs, l)
	if x.peers[id] == l {
		delete(x.peers, id)
		if s := peers[id].State; s == model.Draining || s == model.Gone {
			x.leaves(id)
		}
	}
	x.mu.Unlock()
	if down != nil {
		down()
	}
}

// leaves notes a planned stop, and forgets old ones.
func (x *Exchange) leaves(id model.NodeID) {
	if x.left == nil {
		x.left = map[model.NodeID]time.Time{}
	}
	for other, at := range x.left {
		if time.Since(at) > leftTime {
			delete(x.left, other)
		}
	}
	x.left[id] = time.Now()
}

// Left reports whether a process was draining when its last link ended.
func (x *Exchange) Left(id model.NodeID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, ok := x.left[id]
	return ok && x.peers[id] == nil && time.Since(at) <= leftTime
}

// Heard takes a frame of a link that Linked reported.
func (x *Exchange) Heard(l *link.Link, f link.Frame) {
	switch f := f.(type) {
	case link.Config:
		if x.drains(l, f) {
			return
		}
		m, err := unpack(f)
		if err != nil {
			x.log().Warn("configuration message can't be read", "peer", l.Peer().Node, "error", err)
			return
		}
		x.Manager.Hear(l.Peer().Node, m)
	case link.Known:
		if len(f.Entries) > 0 {
			x.mu.Lock()
			x.known = f.Entries
			x.mu.Unlock()
		}
	}
}

// Asked answers over a link that Linked has not reported.
func (x *Exchange) Asked(l *link.Link, f link.Config) {
	if x.drains(l, f) {
		return
	}
	// A failed send breaks the link, which its owner finds out.
	_ = sender{l, &x.last}.Send(x.Manager.Answer(f.Message))
}

func (x *Exchange) drains(l *link.Link, f link.Config) bool {
	if !f.Drain {
		return false
	}
	if l.Peer().Role != link.RoleEntry {
		x.log().Warn("command to drain refused, because it does not come from an entry", "peer", l.Peer().Node)
		return true
	}
	x.log().Info("told to drain", "peer", l.Peer().Node)
	if x.OnDrain != nil {
		x.OnDrain()
	}
	return true
}

func (x *Exchange) log() *slog.Logger {
	if x.Log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return x.Log
}

// Peers returns the linked processes.
func (x *Exchange) Peers() []link.Hello {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]link.Hello, 0, len(x.peers))
	for _, l := range x.peers {
		out = append(out, l.Peer())
	}
	return out
}

// Drain tells a linked process to drain; the result is false if it is not linked.
func (x *Exchange) Drain(id model.NodeID) (bool, error) {
	x.mu.Lock()
	l := x.peers[id]
	x.mu.Unlock()
	if l == nil {
		return false, nil
	}
	return true, l.Send(link.Config{Drain: true, Message: x.Manager.Answer(config.Message{})})
}

// Known returns the entries that others named.
func (x *Exchange) Known() []link.Entry {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.known
}

// Probe looks at the processes that the manager has to hear of and that are not linked, until a
// revision is in force: without the store, a new process may only trust its peers after it has
// asked every one that can be reached. Targets maps them to their addresses. Processes that may
// be dialled besides the usual links are asked over a link, the others are only looked for.
func (x *Exchange) Probe(ctx context.Context, s link.Settings, targets func() map[model.NodeID]Target) {
	var wg sync.WaitGroup
	defer wg.Wait()
	busy := map[model.NodeID]bool{}
	var mu sync.Mutex
	for ; !x.Manager.Settled() && ctx.Err() == nil; pause(ctx, probeInterval) {
		for id, target := range targets() {
			mu.Lock()
			skip := busy[id] || x.Manager.Linked(id) || id == s.Self.Node || len(busy) >= maxProbes
			if !skip {
				busy[id] = true
			}
			mu.Unlock()
			if skip {
				continue
			}
			x.Manager.Meet(id)
			wg.Go(func() {
				x.look(ctx, s, id, target)
				mu.Lock()
				defer mu.Unlock()
				delete(busy, id)
			})
		}
	}
}

// Target is a process that Probe looks at.
type Target struct {
	Address string
	// Ask says that the process may be asked over a link of its own.
	Ask bool
}

func (x *Exchange) look(ctx context.Context, s link.Settings, id model.NodeID, t Target) {
	call, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	if !t.Ask {
		req, err := http.NewRequestWithContext(call, http.MethodGet, "http://"+t.Address+"/ready", nil)
		if err != nil {
			x.Manager.Fail(id)
			return
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			x.Manager.Fail(id)
			return
		}
		resp.Body.Close()
		return
	}
	l, err := link.Dial(call, t.Address, s)
	if err != nil {
		x.Manager.Fail(id)
		return
	}
	defer l.Close()
	if l.Peer().Node != id {
		x.Manager.Forget(id) // the address is another process's now
		return
	}
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	end := time.AfterFunc(probeTime, l.Close)
	defer end.Stop()
	x.Linked(l)
	defer x.Unlinked(l)
	for !x.Manager.Settled() {
		f, err := l.Receive()
		if err != nil {
			return
		}
		x.Heard(l, f)
	}
}
