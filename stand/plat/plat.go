package plat

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"wagtailhoist/stand/fault"
	"wagtailhoist/stand/keys"
	"wagtailhoist/stand/serve"
	"wagtailhoist/stand/tasks"
)

// tick is how often leases and grants are checked; it is far below any ttl in use.
const tick = 10 * time.Millisecond

// Command holds the flags of stand platform.
type Command struct {
	Listen  string        `default:"127.0.0.1:0" help:"Address of the service."`
	Workers string        `help:"JSON file with the workers."`
	Centres string        `default:"lausanne=4,fribourg=3,chur=3" help:"Workers by data centre, if no file is given."`
	Cores   int           `default:"128" help:"Cores of each worker."`
	Memory  int           `default:"256" help:"Memory of each worker, in GB."`
	GPUs    int           `name:"gpus" default:"8" help:"Accelerators of each worker."`
	Life    time.Duration `name:"run" help:"Run time of tasks; 0 means until POST /finish."`
}

// Platform is the store and the worker service with their faults.
type Platform struct {
	Keys   *keys.Keys
	Tasks  *tasks.Tasks
	Faults *fault.Set
}

// New returns a platform with workers whose tasks run for run.
func New(workers []tasks.Worker, run time.Duration) *Platform {
	p := &Platform{Keys: keys.New(), Tasks: tasks.New(workers, time.Now()), Faults: &fault.Set{}}
	p.Tasks.Run = run
	p.Tasks.Fails = func(worker string) bool {
		_, ok := p.Faults.Take(func(f fault.Fault) bool {
			return f.Mode == fault.Fail && (f.Worker == "" || f.Worker == worker)
		})
		return ok
	}
	p.Faults.OnChange(func(faults []fault.Fault) {
		down := map[string]bool{}
		for _, f := range faults {
			if f.Mode == fault.Lose {
				down[f.Worker] = true
			}
		}
		p.Tasks.SetUp(down, time.Now())
	})
	return p
}

// Handler returns the HTTP interface of the platform.
func (p *Platform) Handler() http.Handler {
	newRouter := func() *mux.Router { return mux.NewRouter().UseEncodedPath().SkipClean(true) }
	store, works := newRouter(), newRouter()
	p.Keys.Route(store)
	p.Tasks.Route(works)
	root := newRouter()
	root.HandleFunc("/faults", p.Faults.Serve).Methods(http.MethodGet, http.MethodPost)
	p.Tasks.Control(root)
	storeCalls, worksCalls := p.Faults.Wrap("store", store), p.Faults.Wrap("works", works)
	root.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch first, _, _ := strings.Cut(r.URL.Path[1:], "/"); first {
		case "kv", "watch", "leases", "stats":
			storeCalls.ServeHTTP(w, r)
		default:
			worksCalls.ServeHTTP(w, r)
		}
	})
	return root
}

// Advance ends leases, grants and tasks until ctx ends.
func (p *Platform) Advance(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.Keys.Expire(time.Now())
			p.Tasks.Advance(time.Now())
		}
	}
}

// Run serves until ctx ends.
func (c *Command) Run(ctx context.Context) error {
	workers, err := c.seed()
	if err != nil {
		return err
	}
	l, err := serve.Open(c.Listen)
	if err != nil {
		return err
	}
	p := New(workers, c.Life)
	serve.Announce("listen", l.Addr().String())
	go p.Advance(ctx)
	return serve.HTTP(ctx, l, p.Handler())
}

func (c *Command) seed() ([]tasks.Worker, error) {
	if c.Workers != "" {
		return tasks.Read(c.Workers)
	}
	return tasks.Seed(c.Centres, c.Cores, c.Memory, c.GPUs)
}
