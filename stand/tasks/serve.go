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

// usageLag is how old reported usage is.
const usageLag = time.Second

// Route adds the calls of the worker service to r, which has to use encoded paths.
func (t *Tasks) Route(r *mux.Router) {
	r.HandleFunc("/workers", func(w http.ResponseWriter, _ *http.Request) {
		serve.JSON(w, http.StatusOK, map[string]any{"workers": t.Workers()})
	}).Methods(http.MethodGet)
	r.HandleFunc("/tasks", func(w http.ResponseWriter, r *http.Request) {
		serve.JSON(w, http.StatusOK, map[string]any{"tasks": t.List(r.URL.Query().Get("cell"))})
	}).Methods(http.MethodGet)
	r.HandleFunc("/tasks", t.prepare).Methods(http.MethodPost)
	r.HandleFunc("/tasks/{id}/{verb:throttle|checkpoint|stop}", t.command).Methods(http.MethodPost)
	r.HandleFunc("/grants", t.grant).Methods(http.MethodPost)
	r.HandleFunc("/grants/{id}/renew", t.lease(t.Renew)).Methods(http.MethodPost)
	r.HandleFunc("/grants/{id}", t.lease(t.Revoke)).Methods(http.MethodDelete)
	r.HandleFunc("/usage", t.usage()).Methods(http.MethodGet)
}

// Control adds the calls that only tests and the demo use.
func (t *Tasks) Control(r *mux.Router) {
	r.HandleFunc("/log", func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.URL.Query().Get("from"))
		serve.JSON(w, http.StatusOK, map[string]any{
			"events": t.Log(from), "stats": t.Stats(), "now": t.Since(time.Now()).Microseconds(),
		})
	}).Methods(http.MethodGet)
	r.HandleFunc("/use", func(w http.ResponseWriter, r *http.Request) {
		var use Use
		if err := json.NewDecoder(r.Body).Decode(&use); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetUse(use)
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

func answer(w http.ResponseWriter, v any, refusal *Refusal) {
	if refusal != nil {
		serve.JSON(w, refusal.Status, refusal)
		return
	}
	serve.JSON(w, http.StatusOK, v)
}

func (t *Tasks) prepare(w http.ResponseWriter, r *http.Request) {
	var in Task
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.ID == "" || in.GPUs < 0 {
		http.Error(w, "bad task", http.StatusBadRequest)
		return
	}
	task, refusal := t.Prepare(in, time.Now())
	answer(w, task, refusal)
}

func (t *Tasks) command(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Command
		Share float64 `json:"share"`
	}
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil || json.NewDecoder(r.Body).Decode(&in) != nil {
		http.Error(w, "bad command", http.StatusBadRequest)
		return
	}
	var task Task
	var refusal *Refusal
	switch mux.Vars(r)["verb"] {
	case "throttle":
		task, refusal = t.Throttle(id, in.Command, in.Share, time.Now())
	case "checkpoint":
		task, refusal = t.Checkpoint(id, in.Command, time.Now())
	case "stop":
		task, refusal = t.Stop(id, in.Command, time.Now())
	}
	answer(w, task, refusal)
}

func (t *Tasks) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Command
		TTL int64 `json:"ttl"` // milliseconds
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTL <= 0 {
		http.Error(w, "ttl missing", http.StatusBadRequest)
		return
	}
	id, refusal := t.Grant(in.Command, time.Duration(in.TTL)*time.Millisecond, time.Now())
	answer(w, map[string]uint64{"id": id}, refusal)
}

func (t *Tasks) lease(fn func(uint64, Command, time.Time) *Refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in Command
		id, err := strconv.ParseUint(mux.Vars(r)["id"], 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&in) != nil {
			http.Error(w, "bad command", http.StatusBadRequest)
			return
		}
		answer(w, map[string]uint64{"id": id}, fn(id, in, time.Now()))
	}
}

func (t *Tasks) usage() http.HandlerFunc {
	var taken time.Time
	var usage []Usage
	return func(w http.ResponseWriter, _ *http.Request) {
		t.mu.Lock()
		stale := time.Since(taken) >= usageLag
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
