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

// Counts holds the numbers of executions, refused requests and connections since the start.
type Counts struct {
	// Keys counts executions by idempotency key, IDs by request identifier.
	Keys map[string]int `json:"keys"`
	IDs  map[string]int `json:"ids"`
	// Total counts executions, Done those that ended, Running those in progress.
	Total   int `json:"total"`
	Done    int `json:"done"`
	Running int `json:"running"`
	// Most is the maximum of Running.
	Most int `json:"most"`
	// Overflow counts requests refused for lack of a slot; RejectedConnections counts connections above the limit.
	Overflow            int   `json:"overflow"`
	RejectedConnections int64 `json:"over"`
	// Open counts the open connections.
	Open int64 `json:"open"`
	// Broken counts requests whose body could not be read to its end.
	Broken int `json:"broken"`
}

// Minion executes requests in a limited number of slots and counts them.
type Minion struct {
	id       string
	slots    int
	time     time.Duration
	faults   *fault.Set
	listener *serve.ReopenableListener

	mu     sync.Mutex
	counts Counts
}

// Run serves requests and the control address until ctx ends.
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
		listener: serve.NewReopenableListener(data, int64(c.Connections)),
		counts:   Counts{Keys: map[string]int{}, IDs: map[string]int{}},
	}
	m.faults.OnChange(func(faults []fault.Fault) {
		refusing := false
		for _, f := range faults {
			refusing = refusing || f.Mode == fault.Refuse && f.Count == 0
		}
		if err := m.listener.SetRefusing(refusing); err != nil {
			slog.Error("opening or closing the minion's listener failed; the changed faults are only partly in effect", "error", err.Error())
		}
	})
	serve.Announce("listen", data.Addr().String(), "control", control.Addr().String())
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	go func() { failed <- serve.HTTP(stop, control, m.control()) }()
	go func() { failed <- serve.HTTP(stop, m.listener, m.faults.Wrap("minion", http.HandlerFunc(m.execute))) }()
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
		m.counts.RejectedConnections, m.counts.Open = m.listener.RejectedConnections.Load(), m.listener.Open()
		serve.JSON(w, http.StatusOK, m.counts)
	}).Methods(http.MethodGet)
	return r
}

// startExecution occupies a slot and counts the execution; it returns false if no slot is free.
func (m *Minion) startExecution(id, key string) bool {
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

func (m *Minion) finishExecution() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Running--
	m.counts.Done++
}

// requestOption returns an option of the request from its query or, if absent there, from its header.
func requestOption(r *http.Request, query, header string) string {
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
	if !m.startExecution(id, key) {
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer m.finishExecution()
	wait := m.time
	if d, err := time.ParseDuration(requestOption(r, "time", echo.Time)); err == nil {
		wait = d
	}
	time.Sleep(wait)
	status := http.StatusOK
	if n, err := strconv.Atoi(requestOption(r, "status", echo.Status)); err == nil && n >= 200 && n < 600 {
		status = n
	}
	if _, fails := m.faults.Take(func(f fault.Fault) bool { return f.Mode == fault.Fail }); fails {
		status = http.StatusInternalServerError
	}
	size, _ := strconv.Atoi(requestOption(r, "size", echo.Size))
	answer := echo.Answer(echo.Request{
		Method: r.Method, Path: r.URL.RequestURI(), ID: id, Key: key, Body: body,
	}, size)
	w.Header().Set(echo.Node, m.id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}
