package minion

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"wagtailhoist/stand/echo"
	"wagtailhoist/stand/fault"
	"wagtailhoist/stand/serve"
)

// Command holds the flags of stand minion.
type Command struct {
	ID          string        `default:"minion" help:"Name in answers."`
	Listen      string        `default:"127.0.0.1:0" help:"Address for requests."`
	Control     string        `default:"127.0.0.1:0" help:"Address of POST /faults and GET /counts."`
	Slots       int           `default:"8" help:"Requests served at a time."`
	Connections int           `default:"64" help:"Connections open at a time."`
	Time        time.Duration `default:"0s" help:"Service time, unless the request asks for another."`
}

// Counts are the executions since the start.
type Counts struct {
	// Keys counts executions by idempotency key, IDs by request.
	Keys map[string]int `json:"keys"`
	IDs  map[string]int `json:"ids"`
	// Total counts executions, Done those that ended, Running those in progress.
	Total   int `json:"total"`
	Done    int `json:"done"`
	Running int `json:"running"`
	// Most is the largest number of executions at a time.
	Most int `json:"most"`
	// Overflow counts requests above the slots; Over counts connections above the limit.
	Overflow int   `json:"overflow"`
	Over     int64 `json:"over"`
	// Open counts the open connections.
	Open int64 `json:"open"`
	// Broken counts requests whose body could not be read to its end.
	Broken int `json:"broken"`
}

// Minion executes requests.
type Minion struct {
	id     string
	slots  int
	time   time.Duration
	faults *fault.Set
	gate   *serve.Gate

	mu     sync.Mutex
	counts Counts
}

// Run serves until ctx ends.
func (c *Command) Run(ctx context.Context) error {
	data, err := serve.Open(c.Listen)
	if err != nil {
		return err
	}
	control, err := serve.Open(c.Control)
	if err != nil {
		return err
	}
	m := &Minion{
		id: c.ID, slots: c.Slots, time: c.Time, faults: &fault.Set{},
		gate:   serve.NewGate(data, int64(c.Connections)),
		counts: Counts{Keys: map[string]int{}, IDs: map[string]int{}},
	}
	m.faults.OnChange(func(faults []fault.Fault) {
		refuses := false
		for _, f := range faults {
			refuses = refuses || f.Mode == fault.Refuse && f.Count == 0
		}
		if err := m.gate.Shut(refuses); err != nil {
			slog.Error("changing the listener", "error", err.Error())
		}
	})
	serve.Announce("listen", data.Addr().String(), "control", control.Addr().String())
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	go func() { failed <- serve.HTTP(stop, control, m.control()) }()
	go func() { failed <- serve.HTTP(stop, m.gate, m.faults.Wrap("minion", http.HandlerFunc(m.execute))) }()
	err = <-failed
	cancel()
	<-failed
	return err
}

func (m *Minion) control() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/faults", m.faults.Serve).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.counts.Over, m.counts.Open = m.gate.Over.Load(), m.gate.Open()
		serve.JSON(w, http.StatusOK, m.counts)
	}).Methods(http.MethodGet)
	return r
}

// begin counts the execution and takes a slot.
func (m *Minion) begin(id, key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts.Running >= m.slots {
		m.counts.Overflow++
		return false
	}
	m.counts.Running++
	m.counts.Most = max(m.counts.Most, m.counts.Running)
	m.counts.Total++
	if id != "" {
		m.counts.IDs[id]++
	}
	if key != "" {
		m.counts.Keys[key]++
	}
	return true
}

func (m *Minion) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Running--
	m.counts.Done++
}

// option returns a wish of the request from its query or its header.
func option(r *http.Request, query, header string) string {
	if v := r.URL.Query().Get(query); v != "" {
		return v
	}
	return r.Header.Get(header)
}

func (m *Minion) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		m.mu.Lock()
		m.counts.Broken++
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	id, key := r.Header.Get(echo.ID), r.Header.Get(echo.Key)
	if !m.begin(id, key) {
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer m.end()
	wait := m.time
	if d, err := time.ParseDuration(option(r, "time", echo.Time)); err == nil {
		wait = d
	}
	time.Sleep(wait)
	status := http.StatusOK
	if n, err := strconv.Atoi(option(r, "status", echo.Status)); err == nil && n >= 200 && n < 600 {
		status = n
	}
	if _, fails := m.faults.Take(func(f fault.Fault) bool { return f.Mode == fault.Fail }); fails {
		status = http.StatusInternalServerError
	}
	size, _ := strconv.Atoi(option(r, "size", echo.Size))
	answer := echo.Answer(echo.Request{
		Method: r.Method, Path: r.URL.RequestURI(), ID: id, Key: key, Body: body,
	}, size)
	w.Header().Set(echo.Node, m.id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}
