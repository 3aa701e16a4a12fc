package tasks

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"wagtailhoist/stand/serve"
)

// usageInterval is the least time between two measurements; reported usage is up to this old.
const usageInterval = time.Second

// RegisterRoutes adds the worker service's routes to r, which must match encoded paths, as task identifiers are escaped.
func (t *Tasks) RegisterRoutes(r *mux.Router) {
	r.HandleFunc("/workers", func(w http.ResponseWriter, _ *http.Request) {
		serve.JSON(w, http.StatusOK, map[string]any{"workers": t.Workers()})
	}).Methods(http.MethodGet)
	r.HandleFunc("/tasks", func(w http.ResponseWriter, r *http.Request) {
		serve.JSON(w, http.StatusOK, map[string]any{"tasks": t.List(r.URL.Query().Get("cell"))})
	}).Methods(http.MethodGet)
	r.HandleFunc("/tasks", t.handlePrepare).Methods(http.MethodPost)
	r.HandleFunc("/tasks/{id}/{verb:throttle|checkpoint|stop}", t.handleCommand).Methods(http.MethodPost)
	r.HandleFunc("/grants", t.handleGrant).Methods(http.MethodPost)
	r.HandleFunc("/grants/{id}/renew", t.handleGrantCommand(t.Renew, serve.ReceivedAt)).Methods(http.MethodPost)
	r.HandleFunc("/grants/{id}", t.handleGrantCommand(t.Revoke, func(*http.Request) time.Time { return time.Now() })).Methods(http.MethodDelete)
	r.HandleFunc("/usage", t.usage()).Methods(http.MethodGet)
}

// RegisterControlRoutes adds the routes that only tests and the demo use.
func (t *Tasks) RegisterControlRoutes(r *mux.Router) {
	r.HandleFunc("/log", func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.URL.Query().Get("from"))
		serve.JSON(w, http.StatusOK, map[string]any{
			"events": t.Log(from), "stats": t.Stats(), "now": t.LogTime(time.Now()).Microseconds(),
		})
	}).Methods(http.MethodGet)
	r.HandleFunc("/use", func(w http.ResponseWriter, r *http.Request) {
		var use JobUsage
		if err := json.NewDecoder(r.Body).Decode(&use); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetJobUsage(use)
		serve.JSON(w, http.StatusOK, use)
	}).Methods(http.MethodPost)
	r.HandleFunc("/finish", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Job string `json:"job"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		serve.JSON(w, http.StatusOK, map[string]int{"tasks": t.Finish(body.Job, time.Now())})
	}).Methods(http.MethodPost)
}

func writeResult(w http.ResponseWriter, v any, refusal *Refusal) {
	if refusal != nil {
		serve.JSON(w, refusal.Status, refusal)
		return
	}
	serve.JSON(w, http.StatusOK, v)
}

func (t *Tasks) handlePrepare(w http.ResponseWriter, r *http.Request) {
	var body Task
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.ID == "" || body.GPUs < 0 {
		http.Error(w, "task malformed, without id or with negative gpus", http.StatusBadRequest)
		return
	}
	task, refusal := t.Prepare(body, time.Now())
	writeResult(w, task, refusal)
}

func (t *Tasks) handleCommand(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Command
		Share float64 `json:"share"`
	}
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		http.Error(w, "bad command", http.StatusBadRequest)
		return
	}
	var task Task
	var refusal *Refusal
	switch mux.Vars(r)["verb"] {
	case "throttle":
		task, refusal = t.Throttle(id, body.Command, body.Share, time.Now())
	case "checkpoint":
		task, refusal = t.Checkpoint(id, body.Command, time.Now())
	case "stop":
		task, refusal = t.Stop(id, body.Command, time.Now())
	}
	writeResult(w, task, refusal)
}

func (t *Tasks) handleGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Command
		TTL int64 `json:"ttl"` // milliseconds
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTL <= 0 {
		http.Error(w, "ttl missing, malformed or not positive", http.StatusBadRequest)
		return
	}
	id, refusal := t.Grant(body.Command, time.Duration(body.TTL)*time.Millisecond, time.Now())
	writeResult(w, map[string]uint64{"id": id}, refusal)
}

// handleGrantCommand returns a handler that passes a command to apply with the time that at returns.
func (t *Tasks) handleGrantCommand(apply func(uint64, Command, time.Time) *Refusal, at func(*http.Request) time.Time) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body Command
		id, err := strconv.ParseUint(mux.Vars(r)["id"], 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
			http.Error(w, "bad command", http.StatusBadRequest)
			return
		}
		writeResult(w, map[string]uint64{"id": id}, apply(id, body, at(r)))
	}
}

func (t *Tasks) usage() http.HandlerFunc {
	var taken time.Time
	var usage []Usage
	return func(w http.ResponseWriter, _ *http.Request) {
		t.mu.Lock()
		stale := time.Since(taken) >= usageInterval
		t.mu.Unlock()
		if stale {
			fresh := t.Usage()
			t.mu.Lock()
			taken, usage = time.Now(), fresh
			t.mu.Unlock()
		}
		t.mu.Lock()
		out := append([]Usage{}, usage...)
		for i := range out {
			out[i].Age = time.Since(taken).Milliseconds()
		}
		t.mu.Unlock()
		serve.JSON(w, http.StatusOK, map[string]any{"usage": out})
	}
}
