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

// expiryInterval is the time between checks for expired leases and grants; it is far below any ttl in use.
const expiryInterval = 10 * time.Millisecond

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

// Platform is the key-value store and the worker service with the faults injected into them.
type Platform struct {
	Keys   *keys.Keys
	Tasks  *tasks.Tasks
	Faults *fault.Set
}

// New returns a platform with workers whose tasks are done after run, or only on POST /finish if run is 0.
func New(workers []tasks.Worker, run time.Duration) *Platform {
	p := &Platform{Keys: keys.New(), Tasks: tasks.New(workers, time.Now()), Faults: &fault.Set{}}
	p.Tasks.RunTime = run
	p.Tasks.FailsOnStart = func(worker string) bool {
		_, ok := p.Faults.Take(func(f fault.Fault) bool {
			return f.Mode == fault.Fail && (f.Worker == "" || f.Worker == worker)
		})
		return ok
	}
	p.Faults.OnChange(func(faults []fault.Fault) {
		down := map[string]bool{}
		for _, f := range faults {
			if f.Mode == fault.LoseWorker {
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
	p.Keys.RegisterRoutes(store)
	p.Tasks.RegisterRoutes(works)
	root := newRouter()
	root.HandleFunc("/faults", p.Faults.Serve).Methods(http.MethodGet, http.MethodPost)
	p.Tasks.RegisterControlRoutes(root)
	storeHandler, worksHandler := p.Faults.Wrap("store", store), p.Faults.Wrap("works", works)
	root.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch segment, _, _ := strings.Cut(r.URL.Path[1:], "/"); segment {
		case "kv", "watch", "leases", "stats":
			storeHandler.ServeHTTP(w, r)
		default:
			worksHandler.ServeHTTP(w, r)
		}
	})
	return root
}

// Advance ends expired leases and grants, and tasks whose run time is over, every expiryInterval until ctx ends.
func (p *Platform) Advance(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
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

// Run serves the platform until ctx ends.
func (c *Command) Run(ctx context.Context) error {
	workers, err := c.loadWorkers()
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

func (c *Command) loadWorkers() ([]tasks.Worker, error) {
	if c.Workers != "" {
		return tasks.ReadWorkers(c.Workers)
	}
	return tasks.ParseWorkers(c.Centres, c.Cores, c.Memory, c.GPUs)
}
