package keys

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"wagtailhoist/stand/serve"
)

const (
	// maxValue is the size limit of a value, in bytes.
	maxValue = 1 << 20
	// maxWait bounds the long poll of a watch.
	maxWait = 30 * time.Second
)

// RegisterRoutes adds the store's routes to r, which must match encoded paths, as keys may contain slashes.
func (k *Keys) RegisterRoutes(r *mux.Router) {
	add := func(kind, method, path string, fn func(http.ResponseWriter, *http.Request)) {
		r.HandleFunc(path, func(w http.ResponseWriter, req *http.Request) {
			k.count(kind, 1)
			fn(w, req)
		}).Methods(method)
	}
	add("list", http.MethodGet, "/kv", k.list)
	add("get", http.MethodGet, "/kv/{key}", k.get)
	add("put", http.MethodPut, "/kv/{key}", k.put)
	add("delete", http.MethodDelete, "/kv/{key}", k.del)
	add("watch", http.MethodGet, "/watch", k.watch)
	add("grant", http.MethodPost, "/leases", k.grant)
	add("renew", http.MethodPost, "/leases/{id}/renew", k.renew)
	add("revoke", http.MethodDelete, "/leases/{id}", k.revoke)
	r.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) {
		serve.JSON(w, http.StatusOK, k.Stats())
	}).Methods(http.MethodGet)
}

func writeError(w http.ResponseWriter, err error) {
	var conflict *ConflictError
	var missing *NotFoundError
	var ended *LeaseError
	switch {
	case errors.As(err, &conflict):
		serve.JSON(w, http.StatusConflict, map[string]uint64{"have": conflict.Have})
	case errors.As(err, &missing):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.As(err, &ended):
		http.Error(w, err.Error(), http.StatusGone)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func queryNumber(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func (k *Keys) get(w http.ResponseWriter, r *http.Request) {
	key, err := url.PathUnescape(mux.Vars(r)["key"])
	if err != nil {
		writeError(w, err)
		return
	}
	item, err := k.Get(key)
	if err != nil {
		writeError(w, err)
		return
	}
	serve.JSON(w, http.StatusOK, item)
}

func (k *Keys) put(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Value []byte `json:"value"`
	}
	key, err1 := url.PathUnescape(mux.Vars(r)["key"])
	version, err2 := queryNumber(r, "version")
	id, err3 := queryNumber(r, "lease")
	if err := errors.Join(err1, err2, err3, json.NewDecoder(r.Body).Decode(&body)); err != nil {
		writeError(w, err)
		return
	}
	if len(body.Value) > maxValue {
		http.Error(w, "value exceeds 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	item, err := k.Put(key, body.Value, version, id)
	if err != nil {
		writeError(w, err)
		return
	}
	serve.JSON(w, http.StatusOK, item)
}

func (k *Keys) del(w http.ResponseWriter, r *http.Request) {
	key, err1 := url.PathUnescape(mux.Vars(r)["key"])
	version, err2 := queryNumber(r, "version")
	err := errors.Join(err1, err2)
	if err == nil {
		err = k.Delete(key, version)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

type listResponse struct {
	Items    []Item `json:"items"`
	Revision uint64 `json:"revision"`
}

func (k *Keys) list(w http.ResponseWriter, r *http.Request) {
	items, revision := k.List(r.URL.Query().Get("prefix"))
	serve.JSON(w, http.StatusOK, listResponse{items, revision})
}

func (k *Keys) watch(w http.ResponseWriter, r *http.Request) {
	after, err1 := queryNumber(r, "after")
	millis, err2 := queryNumber(r, "wait")
	if err := errors.Join(err1, err2); err != nil {
		writeError(w, err)
		return
	}
	wait := min(time.Duration(millis)*time.Millisecond, maxWait)
	items, revision := k.Watch(r.Context(), r.URL.Query().Get("prefix"), after, wait)
	serve.JSON(w, http.StatusOK, listResponse{items, revision})
}

func (k *Keys) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTL <= 0 {
		http.Error(w, "ttl missing, malformed or not positive", http.StatusBadRequest)
		return
	}
	id := k.Grant(time.Duration(body.TTL)*time.Millisecond, time.Now())
	serve.JSON(w, http.StatusOK, map[string]uint64{"id": id})
}

func (k *Keys) renew(w http.ResponseWriter, r *http.Request) {
	k.handleLease(w, r, func(id uint64) error { return k.Renew(id, time.Now()) })
}

func (k *Keys) revoke(w http.ResponseWriter, r *http.Request) {
	k.handleLease(w, r, k.Revoke)
}

func (k *Keys) handleLease(w http.ResponseWriter, r *http.Request, apply func(uint64) error) {
	id, err := strconv.ParseUint(mux.Vars(r)["id"], 10, 64)
	if err == nil {
		err = apply(id)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
