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

// clientTimeout is longer than a call takes on a busy machine, also with the fault slow; a call with the fault silent is never
// answered.
const clientTimeout = 2 * time.Second

// fixture is a platform with a client of each of its services.
type fixture struct {
	*plat.Platform
	store *store.Client
	works *works.Client
	ctx   context.Context
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	workers, err := tasks.ParseWorkers("lausanne=3", 128, 256, 8)
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
	return &fixture{
		Platform: p, ctx: t.Context(),
		store: &store.Client{URL: server.URL, HTTP: client, Timeout: clientTimeout},
		works: &works.Client{URL: server.URL, HTTP: client, Timeout: clientTimeout},
	}
}

// faultCase is a fault with its expectations: whether the client reports an unknown effect, and whether the change takes effect.
type faultCase struct {
	name    string
	fault   fault.Fault
	unknown bool
	effect  bool
}

var faultCases = []faultCase{
	{"none", fault.Fault{}, false, true},
	{"down before the effect", fault.Fault{Mode: fault.Down}, true, false},
	{"refused before the effect", fault.Fault{Mode: fault.Refuse}, true, false},
	{"silent before the effect", fault.Fault{Mode: fault.Silent}, true, false},
	{"answer lost after the effect", fault.Fault{Mode: fault.LoseAnswer}, true, true},
	{"silent after the effect", fault.Fault{Mode: fault.WithholdAnswer}, true, true},
	{"slow", fault.Fault{Mode: fault.Slow, Delay: 50}, false, true},
	{"twice", fault.Fault{Mode: fault.Twice}, false, true},
}

// mutation is one kind of call that changes the state of a service.
type mutation struct {
	name string
	// prepare returns the call and a check of its effect.
	prepare func(t *testing.T, b *fixture) (do func() error, effect func() bool)
	// secondError points to a variable of the error type returned if the call is carried out twice; nil means no error.
	secondError any
	// checkOnce is set if the check of the effect advances the clock, so that it can only run after the call.
	checkOnce bool
}

// testMutationsUnderFaults runs each mutation under each fault. A client must not report a lost answer as success or as a
// definite failure: the controllers read the state back only after an error that says that the effect is unknown.
func testMutationsUnderFaults(t *testing.T, changes []mutation, unknown func(error) bool) {
	for _, c := range changes {
		for _, r := range faultCases {
			t.Run(c.name+"/"+r.name, func(t *testing.T) {
				t.Parallel()
				b := newFixture(t)
				do, effect := c.prepare(t, b)
				if !c.checkOnce && effect() {
					t.Fatal("the change has taken effect before the call")
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
					t.Errorf("faults left in the list: got %v, want none", left)
				}
			})
		}
	}
}

func checkError(t *testing.T, err error, r faultCase, c mutation) {
	t.Helper()
	if r.fault.Mode == fault.Twice && c.secondError != nil {
		if !errors.As(err, c.secondError) {
			t.Errorf("second call: got %v, want %T", err, c.secondError)
		}
	} else if err != nil {
		t.Errorf("got %v, want no error", err)
	}
}
