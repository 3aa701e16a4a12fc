package relay

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"wagtailhoist/stand/fault"
	"wagtailhoist/stand/serve"
)

// Command holds the flags of stand relay.
type Command struct {
	Listen  string        `default:"127.0.0.1:0" help:"Address to relay from."`
	Target  string        `required:"" help:"Address to relay to."`
	Control string        `default:"127.0.0.1:0" help:"Address of POST /faults and GET /counts."`
	Delay   time.Duration `default:"0s" help:"One-way delay."`
	Rate    int64         `default:"0" help:"Bytes a second in each direction; 0 means no limit."`
}

// Counts holds the connections and bytes relayed since the start.
type Counts struct {
	Connections int64 `json:"connections"`
	Open        int64 `json:"open"`
	// Out counts the bytes sent to the target, In those sent to the client.
	Out int64 `json:"out"`
	In  int64 `json:"in"`
}

// linkSettings is the current delay, rate and fault state of the relay. It is immutable and replaced on each change.
type linkSettings struct {
	delay       time.Duration
	rate        int64
	hold        bool
	loseAnswers bool
	silenceNew  bool
	// changed is closed when the settings are replaced.
	changed chan struct{}
}

// Relay forwards TCP connections to a target address.
type Relay struct {
	target   string
	delay    time.Duration
	rate     int64
	faults   *fault.Set
	listener *serve.ReopenableListener

	settings                   atomic.Pointer[linkSettings]
	connections, open, out, in atomic.Int64
	serving                    sync.WaitGroup

	mu    sync.Mutex
	pairs map[*pair]bool
}

// Run relays until ctx ends.
func (c *Command) Run(ctx context.Context) error {
	data, err := serve.Open(c.Listen)
	if err != nil {
		return err
	}
	control, err := serve.Open(c.Control)
	if err != nil {
		return err
	}
	r := New(data, c.Target, c.Delay, c.Rate)
	serve.Announce("listen", data.Addr().String(), "control", control.Addr().String())
	go r.Serve()
	err = serve.HTTP(ctx, control, r.Control())
	r.Close()
	return err
}

// New returns a relay from a listener to a target address.
func New(l net.Listener, target string, delay time.Duration, rate int64) *Relay {
	r := &Relay{
		target: target, delay: delay, rate: rate, faults: &fault.Set{},
		listener: serve.NewReopenableListener(l, 0), pairs: map[*pair]bool{},
	}
	r.settings.Store(&linkSettings{delay: delay, rate: rate, changed: make(chan struct{})})
	r.faults.OnChange(r.apply)
	return r
}

// Control returns the HTTP interface of the control address.
func (r *Relay) Control() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/faults", r.faults.Serve).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) {
		serve.JSON(w, http.StatusOK, Counts{
			Connections: r.connections.Load(), Open: r.open.Load(), Out: r.out.Load(), In: r.in.Load(),
		})
	}).Methods(http.MethodGet)
	return router
}

// apply puts a changed list of faults into effect. Drop, and Silent with a count, apply only to the connections that are open
// now, and are then removed from the list.
func (r *Relay) apply(faults []fault.Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := &linkSettings{delay: r.delay, rate: r.rate, changed: make(chan struct{})}
	refusing := false
	for _, f := range faults {
		switch f.Mode {
		case fault.Slow:
			next.delay = time.Duration(f.Delay) * time.Millisecond
		case fault.Limit:
			next.rate = f.Rate
		case fault.Hold:
			next.hold = true
		case fault.LoseAnswer:
			next.loseAnswers = true
		case fault.Refuse:
			refusing = true
		case fault.Down:
			refusing = true
			r.forEachPair((*pair).close)
		case fault.Drop:
			r.forEachPair((*pair).close)
		case fault.Silent:
			next.silenceNew = next.silenceNew || f.Count == 0
			r.forEachPair(func(p *pair) { p.silent.Store(true) })
		}
	}
	for range faults {
		r.faults.Take(func(f fault.Fault) bool {
			return f.Mode == fault.Drop || f.Mode == fault.Silent && f.Count > 0
		})
	}
	if err := r.listener.SetRefusing(refusing); err != nil {
		slog.Error("opening or closing the relay's listener failed; the changed faults are only partly in effect", "error", err.Error())
	}
	close(r.settings.Swap(next).changed)
}

func (r *Relay) forEachPair(fn func(*pair)) {
	for p := range r.pairs {
		fn(p)
	}
}

// Serve accepts connections until Close.
func (r *Relay) Serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				slog.Error("accepting", "error", err.Error())
			}
			return
		}
		r.connections.Add(1)
		r.serving.Go(func() { r.relay(conn) })
	}
}

// Close closes the listener and all connections and waits until they have ended.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.forEachPair((*pair).close)
	r.mu.Unlock()
	r.serving.Wait()
}

func (r *Relay) relay(client net.Conn) {
	r.open.Add(1)
	defer r.open.Add(-1)
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &pair{relay: r, client: client, server: server, closed: make(chan struct{})}
	r.mu.Lock()
	p.silent.Store(r.settings.Load().silenceNew)
	r.pairs[p] = true
	r.mu.Unlock()
	defer func() {
		p.close()
		r.mu.Lock()
		delete(r.pairs, p)
		r.mu.Unlock()
	}()
	var both sync.WaitGroup
	both.Go(func() { p.copyDirection(client, server, &r.out, false) })
	both.Go(func() { p.copyDirection(server, client, &r.in, true) })
	both.Wait()
}
