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

// Counts are the connections and bytes so far.
type Counts struct {
	Connections int64 `json:"connections"`
	Open        int64 `json:"open"`
	// Out counts bytes towards the target, In those towards the dialler.
	Out int64 `json:"out"`
	In  int64 `json:"in"`
}

// conduct is how bytes are passed at the moment; it is replaced as a whole.
type conduct struct {
	delay time.Duration
	rate  int64
	hold  bool
	lost  bool
	mute  bool
	// changed is closed when the conduct is replaced.
	changed chan struct{}
}

// Relay passes bytes between connections.
type Relay struct {
	target string
	delay  time.Duration
	rate   int64
	faults *fault.Set
	gate   *serve.Gate

	now                        atomic.Pointer[conduct]
	connections, open, out, in atomic.Int64
	wait                       sync.WaitGroup

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
		gate: serve.NewGate(l, 0), pairs: map[*pair]bool{},
	}
	r.now.Store(&conduct{delay: delay, rate: rate, changed: make(chan struct{})})
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

// apply carries out a changed list of faults. Drop, and silent with a count, concern only the connections that
// are open now; they are used up at once.
func (r *Relay) apply(faults []fault.Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := &conduct{delay: r.delay, rate: r.rate, changed: make(chan struct{})}
	shut := false
	for _, f := range faults {
		switch f.Mode {
		case fault.Slow:
			next.delay = time.Duration(f.Delay) * time.Millisecond
		case fault.Limit:
			next.rate = f.Rate
		case fault.Hold:
			next.hold = true
		case fault.Lost:
			next.lost = true
		case fault.Refuse:
			shut = true
		case fault.Down:
			shut = true
			r.each((*pair).close)
		case fault.Drop:
			r.each((*pair).close)
		case fault.Silent:
			next.mute = next.mute || f.Count == 0
			r.each(func(p *pair) { p.silent.Store(true) })
		}
	}
	for range faults {
		r.faults.Take(func(f fault.Fault) bool {
			return f.Mode == fault.Drop || f.Mode == fault.Silent && f.Count > 0
		})
	}
	if err := r.gate.Shut(shut); err != nil {
		slog.Error("changing the listener", "error", err.Error())
	}
	close(r.now.Swap(next).changed)
}

func (r *Relay) each(fn func(*pair)) {
	for p := range r.pairs {
		fn(p)
	}
}

// Serve accepts connections until Close.
func (r *Relay) Serve() {
	for {
		conn, err := r.gate.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				slog.Error("accepting", "error", err.Error())
			}
			return
		}
		r.connections.Add(1)
		r.wait.Go(func() { r.relay(conn) })
	}
}

// Close ends the listener and all connections.
func (r *Relay) Close() {
	_ = r.gate.Close()
	r.mu.Lock()
	r.each((*pair).close)
	r.mu.Unlock()
	r.wait.Wait()
}

func (r *Relay) relay(near net.Conn) {
	r.open.Add(1)
	defer r.open.Add(-1)
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{relay: r, near: near, far: far, ended: make(chan struct{})}
	r.mu.Lock()
	p.silent.Store(r.now.Load().mute)
	r.pairs[p] = true
	r.mu.Unlock()
	defer func() {
		p.close()
		r.mu.Lock()
		delete(r.pairs, p)
		r.mu.Unlock()
	}()
	var both sync.WaitGroup
	both.Go(func() { p.pass(near, far, &r.out, false) })
	both.Go(func() { p.pass(far, near, &r.in, true) })
	both.Wait()
}
