package plat_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"wagtailhoist/io/store"
	"wagtailhoist/io/works"
	"wagtailhoist/stand/fault"
	"wagtailhoist/stand/plat"
	"wagtailhoist/stand/tasks"
)

// timeout is that of the clients; a slow call takes less, a silent one never answers.
const timeout = 300 * time.Millisecond

// bench is a platform with a client of each service.
type bench struct {
	*plat.Platform
	store *store.Client
	works *works.Client
	ctx   context.Context
}

func newBench(t *testing.T) *bench {
	t.Helper()
	workers, err := tasks.Seed("lausanne=3", 128, 256, 8)
	if err != nil {
		t.Fatal(err)
	}
	p := plat.New(workers, 0)
	server := httptest.NewServer(p.Handler())
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return &bench{
		Platform: p, ctx: t.Context(),
		store: &store.Client{URL: server.URL, HTTP: client, Timeout: timeout},
		works: &works.Client{URL: server.URL, HTTP: client, Timeout: timeout},
	}
}

// row is a fault case: what the client has to report and whether the change has taken effect.
type row struct {
	name    string
	fault   fault.Fault
	unknown bool
	effect  bool
}

var rows = []row{
	{"none", fault.Fault{}, false, true},
	{"down before the effect", fault.Fault{Mode: fault.Down}, true, false},
	{"refused before the effect", fault.Fault{Mode: fault.Refuse}, true, false},
	{"silent before the effect", fault.Fault{Mode: fault.Silent}, true, false},
	{"answer lost after the effect", fault.Fault{Mode: fault.Lost}, true, true},
	{"silent after the effect", fault.Fault{Mode: fault.Mute}, true, true},
	{"slow", fault.Fault{Mode: fault.Slow, Delay: 50}, false, true},
	{"twice", fault.Fault{Mode: fault.Twice}, false, true},
}

// change is one kind of call that changes the service.
type change struct {
	name string
	// prepare returns the call and a check of its effect.
	prepare func(t *testing.T, b *bench) (do func() error, effect func() bool)
	// second is the error of a call that is carried out twice; nil means none.
	second any
	// once says that the check of the effect moves the clock and so can run only after the call.
	once bool
}

// Guards against a client that reports a lost answer as success or as a definite failure: the controllers read
// back only after an error of the kind "unknown effect".
func runChanges(t *testing.T, changes []change, unknown func(error) bool) {
	for _, c := range changes {
		for _, r := range rows {
			t.Run(c.name+"/"+r.name, func(t *testing.T) {
				t.Parallel()
				b := newBench(t)
				do, effect := c.prepare(t, b)
				if !c.once && effect() {
					t.Fatal("effect before the call")
				}
				if r.fault.Mode != "" {
					r.fault.Count = 1
					b.Faults.Add(r.fault)
				}
				err := do()
				if got := unknown(err); got != r.unknown {
					t.Errorf("unknown effect: got %v (%v), want %v", got, err, r.unknown)
				}
				if !r.unknown {
					checkError(t, err, r, c)
				}
				if got := effect(); got != r.effect {
					t.Errorf("effect: got %v, want %v", got, r.effect)
				}
				if left := b.Faults.List(); len(left) != 0 {
					t.Errorf("faults left: got %v, want none", left)
				}
			})
		}
	}
}

func checkError(t *testing.T, err error, r row, c change) {
	t.Helper()
	if r.fault.Mode == fault.Twice && c.second != nil {
		if !errors.As(err, c.second) {
			t.Errorf("second call: got %v, want %T", err, c.second)
		}
	} else if err != nil {
		t.Errorf("got %v, want no error", err)
	}
}
