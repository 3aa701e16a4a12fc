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
	// probeInterval is the pause between two probes of an unlinked process. The sum with probeTimeout is below
	// config.DialFailureValidity, so that a failed probe is still valid when the next one ends.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds the connection of one probe.
	probeTimeout = 2 * time.Second
	// probeAnswerTimeout is how long a link that a probe has dialled is kept open for an answer.
	probeAnswerTimeout = 5 * time.Second
	// plannedStopRetention is how long the planned stop of a process is remembered.
	plannedStopRetention = 5 * time.Minute
	// maxProbes bounds the concurrent probes.
	maxProbes = 64
)

// Exchange sends and receives the messages of a Manager over the links of its process.
type Exchange struct {
	Manager *Manager
	// Agent reports whether this process is an agent.
	Agent bool
	// OnDrain is called when an entry sends the command to drain this process.
	OnDrain func()
	Log     *slog.Logger

	cache     documentCache
	mu        sync.Mutex
	linkDowns map[*link.Link]func()
	peers     map[model.NodeID]*link.Link
	// knownEntries are the entries in the last list that a peer has sent.
	knownEntries []link.Entry
	// plannedStops holds, for each process that was draining when its last link ended, the time of that end.
	plannedStops map[model.NodeID]time.Time
}

// linkSender is the Peer that sends over a link.
type linkSender struct {
	link  *link.Link
	cache *documentCache
}

// documentCache holds the last compressed document, because an entry sends the same document to thousands of agents.
type documentCache struct {
	mu       sync.Mutex
	document string
	data     []byte
}

// compress returns the document in gzip format.
func (c *documentCache) compress(document string) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.document == document {
		return c.data, nil
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := io.WriteString(w, document); err != nil {
		return nil, fmt.Errorf("compress the configuration document: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress the configuration document: %w", err)
	}
	c.document, c.data = document, buf.Bytes()
	return c.data, nil
}

// Send sends a message with its document compressed: at 9,300 changes a day, documents of 60 KB would take 6.5 KB/s, and
// a node has 3 KB/s.
func (s linkSender) Send(m config.Message) error {
	f, err := pack(m, s.cache)
	if err != nil {
		return err
	}
	return s.link.Send(f)
}

// pack returns the frame of a message, with the document compressed.
func pack(m config.Message, cache *documentCache) (link.Config, error) {
	f := link.Config{Message: m}
	if m.Snapshot == nil || m.Snapshot.Document == "" {
		return f, nil
	}
	data, err := cache.compress(m.Snapshot.Document)
	if err != nil {
		return f, err
	}
	c := *m.Snapshot
	c.Document = ""
	f.Message.Snapshot, f.Document = &c, data
	return f, nil
}

// unpack returns the message of a frame, with the document decompressed.
func unpack(f link.Config) (config.Message, error) {
	m := f.Message
	if m.Snapshot == nil || len(f.Document) == 0 {
		return m, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(f.Document))
	if err != nil {
		return m, fmt.Errorf("decompress the configuration document: %w", err)
	}
	// The limit bounds the memory that a small compressed document can take.
	data, err := io.ReadAll(io.LimitReader(r, decl.MaxDocumentBytes+1))
	if err != nil {
		return m, fmt.Errorf("decompress the configuration document: %w", err)
	}
	if len(data) > decl.MaxDocumentBytes {
		return m, fmt.Errorf("the decompressed configuration document is larger than %d bytes", decl.MaxDocumentBytes)
	}
	c := *m.Snapshot
	c.Document = string(data)
	m.Snapshot = &c
	return m, nil
}

// AddLink handles a new link, over which both ends announce their configuration state from now on.
func (x *Exchange) AddLink(l *link.Link) {
	id := l.Peer().Node
	// Links to and from agents have a low rate. The others don't, because entries announce the age of their last contact
	// with the store over them.
	lowRate := x.Agent || l.Peer().Role == link.RoleAgent
	down := x.Manager.LinkUp(id, linkSender{l, &x.cache}, lowRate)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.linkDowns == nil {
		x.linkDowns, x.peers = map[*link.Link]func(){}, map[model.NodeID]*link.Link{}
	}
	x.linkDowns[l], x.peers[id] = down, l
}

// RemoveLink handles the end of a link.
func (x *Exchange) RemoveLink(l *link.Link) {
	id := l.Peer().Node
	_, peers := x.Manager.Status()
	x.mu.Lock()
	down := x.linkDowns[l]
	delete(x.linkDowns, l)
	if x.peers[id] == l {
		delete(x.peers, id)
		if s := peers[id].State; s == model.Draining || s == model.Stopped {
			x.recordPlannedStop(id)
		}
	}
	x.mu.Unlock()
	if down != nil {
		down()
	}
}

// recordPlannedStop records the planned stop of a process, and removes records older than plannedStopRetention.
func (x *Exchange) recordPlannedStop(id model.NodeID) {
	if x.plannedStops == nil {
		x.plannedStops = map[model.NodeID]time.Time{}
	}
	for other, at := range x.plannedStops {
		if time.Since(at) > plannedStopRetention {
			delete(x.plannedStops, other)
		}
	}
	x.plannedStops[id] = time.Now()
}

// StoppedAsPlanned reports whether a process without a link was draining when its last link ended, at most plannedStopRetention ago.
func (x *Exchange) StoppedAsPlanned(id model.NodeID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, ok := x.plannedStops[id]
	return ok && x.peers[id] == nil && time.Since(at) <= plannedStopRetention
}

// HandleFrame handles a frame from a link for which AddLink was called.
func (x *Exchange) HandleFrame(l *link.Link, f link.Frame) {
	switch f := f.(type) {
	case link.Config:
		if x.handleDrain(l, f) {
			return
		}
		m, err := unpack(f)
		if err != nil {
			x.log().Warn("configuration message dropped: its document can't be decompressed", "peer", l.Peer().Node, "error", err)
			return
		}
		x.Manager.Receive(l.Peer().Node, m)
	case link.EntryList:
		if len(f.Entries) > 0 {
			x.mu.Lock()
			x.knownEntries = f.Entries
			x.mu.Unlock()
		}
	}
}

// HandleRequest answers a message from a link for which AddLink was not called.
func (x *Exchange) HandleRequest(l *link.Link, f link.Config) {
	if x.handleDrain(l, f) {
		return
	}
	// A failed send breaks the link, which the owner of the link notices.
	_ = linkSender{l, &x.cache}.Send(x.Manager.Answer(f.Message))
}

// handleDrain reports whether a frame is a command to drain this process, and carries it out if it comes from an entry.
func (x *Exchange) handleDrain(l *link.Link, f link.Config) bool {
	if !f.Drain {
		return false
	}
	if l.Peer().Role != link.RoleEntry {
		x.log().Warn("command to drain refused: the peer is not an entry", "peer", l.Peer().Node)
		return true
	}
	x.log().Info("draining this process on the command of an entry", "peer", l.Peer().Node)
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

// Peers returns the handshake data of each linked process.
func (x *Exchange) Peers() []link.Hello {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]link.Hello, 0, len(x.peers))
	for _, l := range x.peers {
		out = append(out, l.Peer())
	}
	return out
}

// SendDrain sends a linked process the command to drain; the result is false if there is no link to it.
func (x *Exchange) SendDrain(id model.NodeID) (bool, error) {
	x.mu.Lock()
	l := x.peers[id]
	x.mu.Unlock()
	if l == nil {
		return false, nil
	}
	return true, l.Send(link.Config{Drain: true, Message: x.Manager.Answer(config.Message{})})
}

// KnownEntries returns the entries in the last list that a peer has sent.
func (x *Exchange) KnownEntries() []link.Entry {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.knownEntries
}

// Probe probes the processes that targets returns and that have no link, until a revision is in force: without the store,
// a new process may put the highest revision of its peers in force only after it has heard every peer that can be reached.
// A process whose Target.AskOverLink is set is asked for its revision over a link; of the others only the reachability is checked.
func (x *Exchange) Probe(ctx context.Context, s link.Settings, targets func() map[model.NodeID]Target) {
	var wg sync.WaitGroup
	defer wg.Wait()
	inProgress := map[model.NodeID]bool{}
	var mu sync.Mutex
	for ; !x.Manager.RevisionKnown() && ctx.Err() == nil; pause(ctx, probeInterval) {
		for id, target := range targets() {
			mu.Lock()
			skip := inProgress[id] || x.Manager.Linked(id) || id == s.Self.Node || len(inProgress) >= maxProbes
			if !skip {
				inProgress[id] = true
			}
			mu.Unlock()
			if skip {
				continue
			}
			x.Manager.ExpectPeer(id)
			wg.Go(func() {
				x.probeTarget(ctx, s, id, target)
				mu.Lock()
				defer mu.Unlock()
				delete(inProgress, id)
			})
		}
	}
}

// Target is a process that Probe probes.
type Target struct {
	Address string
	// AskOverLink reports whether Probe may dial a link to the process in addition to the usual ones.
	AskOverLink bool
}

// probeTarget probes one process and records a failed connection.
func (x *Exchange) probeTarget(ctx context.Context, s link.Settings, id model.NodeID, t Target) {
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !t.AskOverLink {
		req, err := http.NewRequestWithContext(callCtx, http.MethodGet, "http://"+t.Address+"/ready", nil)
		if err != nil {
			x.Manager.ConnectFailed(id)
			return
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			x.Manager.ConnectFailed(id)
			return
		}
		resp.Body.Close()
		return
	}
	l, err := link.Dial(callCtx, t.Address, s)
	if err != nil {
		x.Manager.ConnectFailed(id)
		return
	}
	defer l.Close()
	if l.Peer().Node != id {
		x.Manager.RemovePeer(id) // another process has taken over the address
		return
	}
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	timeout := time.AfterFunc(probeAnswerTimeout, l.Close)
	defer timeout.Stop()
	x.AddLink(l)
	defer x.RemoveLink(l)
	for !x.Manager.RevisionKnown() {
		f, err := l.Receive()
		if err != nil {
			return
		}
		x.HandleFrame(l, f)
	}
}
