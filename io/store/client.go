package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"wagtailhoist/io/call"
)

const (
	// defaultTimeout bounds a call; a healthy service answers in milliseconds.
	defaultTimeout = 2 * time.Second
	// watchWait is how long one watch call may wait for a change.
	watchWait = 10 * time.Second
	// maxAnswerBytes bounds the body of an answer. A value has up to 1 MB, and a list holds several.
	maxAnswerBytes = 64 << 20
)

// Client calls the key-value service over HTTP with JSON bodies.
type Client struct {
	// URL is the root of the service, for example http://10.0.0.9:7400.
	URL string
	// HTTP sends the calls; nil means http.DefaultClient.
	HTTP *http.Client
	// Timeout bounds each call; 0 means 2 s. A watch may take watchWait longer.
	Timeout time.Duration
}

var _ Store = (*Client)(nil)

type putBody struct {
	Value []byte `json:"value"`
}

type listBody struct {
	Items    []Item `json:"items"`
	Revision uint64 `json:"revision"`
}

type leaseBody struct {
	ID  uint64 `json:"id,omitempty"`
	TTL int64  `json:"ttl,omitempty"` // milliseconds
}

type conflictBody struct {
	Have uint64 `json:"have"`
}

// Get returns the item of key, or a NotFoundError.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	err := c.call(ctx, request{op: "get", method: http.MethodGet, path: kvPath(key), key: key}, &item)
	return item, err
}

// Put sets key if it still has version (0: only if it does not exist) and returns the new version. Otherwise it
// returns a ConflictError.
func (c *Client) Put(ctx context.Context, key string, value []byte, version, lease uint64) (uint64, error) {
	query := url.Values{"version": {strconv.FormatUint(version, 10)}}
	if lease != 0 {
		query.Set("lease", strconv.FormatUint(lease, 10))
	}
	var item Item
	err := c.call(ctx, request{
		op: "put", method: http.MethodPut, path: kvPath(key), query: query,
		key: key, version: version, lease: lease, body: putBody{Value: value},
	}, &item)
	return item.Version, err
}

// Delete removes key if it still has version, and otherwise returns a ConflictError.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	query := url.Values{"version": {strconv.FormatUint(version, 10)}}
	return c.call(ctx, request{
		op: "delete", method: http.MethodDelete, path: kvPath(key), query: query, key: key, version: version,
	}, nil)
}

// List returns all items whose keys begin with prefix, and the store revision that the list shows.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	var list listBody
	query := url.Values{"prefix": {prefix}}
	err := c.call(ctx, request{op: "list", method: http.MethodGet, path: "/kv", query: query}, &list)
	return list.Items, list.Revision, err
}

// Watch waits up to watchWait for changes of keys with prefix after the store revision after (long poll). It returns
// the changes and the revision to continue from.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]Item, uint64, error) {
	var list listBody
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {strconv.FormatInt(watchWait.Milliseconds(), 10)},
	}
	err := c.call(ctx, request{
		op: "watch", method: http.MethodGet, path: "/watch", query: query, wait: watchWait,
	}, &list)
	return list.Items, list.Revision, err
}

// Grant creates a lease with the given time to live and returns its identifier.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var lease leaseBody
	err := c.call(ctx, request{
		op: "grant", method: http.MethodPost, path: "/leases", body: leaseBody{TTL: ttl.Milliseconds()},
	}, &lease)
	return lease.ID, err
}

// Renew extends a lease by its time to live, or returns a LeaseError.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	return c.call(ctx, request{
		op: "renew", method: http.MethodPost, path: fmt.Sprintf("/leases/%d/renew", lease), lease: lease,
	}, nil)
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	return c.call(ctx, request{
		op: "revoke", method: http.MethodDelete, path: fmt.Sprintf("/leases/%d", lease), lease: lease,
	}, nil)
}

// request describes one call to the service, with the values that appear in its errors.
type request struct {
	op, method, path string
	query            url.Values
	body             any
	key              string
	version, lease   uint64
	wait             time.Duration // long-poll time, added to the timeout
}

func kvPath(key string) string { return "/kv/" + url.PathEscape(key) }

// call sends a request and decodes the answer into out.
func (c *Client) call(ctx context.Context, r request, out any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+r.wait)
	defer cancel()
	target := c.URL + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := call.NewRequest(ctx, r.method, target, r.body)
	if err != nil {
		return err
	}
	status, data, err := call.Do(c.HTTP, req, maxAnswerBytes)
	if err != nil {
		return &UnavailableError{Op: r.op, Cause: err}
	}
	return r.decodeAnswer(status, data, out)
}

// decodeAnswer decodes a successful answer into out (unless that is nil) and turns any other status into an error.
func (r request) decodeAnswer(status int, data []byte, out any) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		if out == nil || len(data) == 0 {
			return nil
		}
		if err := json.Unmarshal(data, out); err != nil {
			return &UnavailableError{Op: r.op, Cause: err}
		}
		return nil
	case http.StatusNotFound:
		if r.key == "" {
			return &LeaseError{Lease: r.lease}
		}
		return &NotFoundError{Key: r.key}
	case http.StatusGone:
		return &LeaseError{Lease: r.lease}
	case http.StatusConflict:
		var conflict conflictBody
		if err := json.Unmarshal(data, &conflict); err != nil {
			return &UnavailableError{Op: r.op, Cause: err}
		}
		return &ConflictError{Key: r.key, Want: r.version, Have: conflict.Have}
	}
	return &UnavailableError{Op: r.op, Cause: fmt.Errorf("unexpected HTTP status %d", status)}
}
