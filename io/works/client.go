package works

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/io/call"
)

const (
	// defaultTimeout bounds a call. It is well below the ttl of a grant (2 s), so that after a renewal without an answer
	// there is time for another one.
	defaultTimeout = 500 * time.Millisecond
	// maxAnswerBytes bounds the answers of all calls but Usage.
	maxAnswerBytes = 64 << 20
	// maxUsageBytes bounds the answer of Usage: 95,000 tasks at 160 bytes each. A larger answer is an error.
	maxUsageBytes = 16 << 20
)

// Client calls the worker service over HTTP with JSON bodies.
type Client struct {
	// URL is the root of the service, for example http://10.0.0.9:7400.
	URL string
	// HTTP sends the calls; nil means http.DefaultClient.
	HTTP *http.Client
	// Timeout bounds each call; 0 means 500 ms.
	Timeout time.Duration
}

var _ Works = (*Client)(nil)

// Workers lists all workers.
func (c *Client) Workers(ctx context.Context) ([]model.Worker, error) {
	var out struct {
		Workers []model.Worker `json:"workers"`
	}
	err := c.call(ctx, request{op: "workers", method: http.MethodGet, path: "/workers"}, &out)
	return out.Workers, err
}

// Tasks lists the tasks of a cell, ended ones included.
func (c *Client) Tasks(ctx context.Context, cell model.CellID) ([]Task, error) {
	var out struct {
		Tasks []Task `json:"tasks"`
	}
	path := "/tasks?" + url.Values{"cell": {string(cell)}}.Encode()
	err := c.call(ctx, request{op: "tasks", method: http.MethodGet, path: path}, &out)
	return out.Tasks, err
}

// Prepare creates a task, or returns a RefusedError, GrantError or FencedError.
func (c *Client) Prepare(ctx context.Context, task Task) (Task, error) {
	var out Task
	err := c.call(ctx, request{
		op: "prepare", method: http.MethodPost, path: "/tasks", body: task,
		cmd: task.Command, task: task.ID, grant: task.Lease,
	}, &out)
	return out, err
}

// throttleRequest is the body of a call to Throttle.
type throttleRequest struct {
	Command
	Share float64 `json:"share"`
}

// Throttle sets the share of a task, or returns an UnknownTaskError or FencedError.
func (c *Client) Throttle(ctx context.Context, id string, cmd Command, share float64) (Task, error) {
	return c.task(ctx, "throttle", id, cmd, throttleRequest{Command: cmd, Share: share})
}

// Checkpoint saves the work of a task, or returns an UnknownTaskError or FencedError.
func (c *Client) Checkpoint(ctx context.Context, id string, cmd Command) (Task, error) {
	return c.task(ctx, "checkpoint", id, cmd, cmd)
}

// Stop ends a task, or returns an UnknownTaskError or FencedError.
func (c *Client) Stop(ctx context.Context, id string, cmd Command) (Task, error) {
	return c.task(ctx, "stop", id, cmd, cmd)
}

// task calls the path of a verb on a task and returns the task as it is afterwards.
func (c *Client) task(ctx context.Context, verb, id string, cmd Command, body any) (Task, error) {
	var out Task
	err := c.call(ctx, request{
		op: verb, method: http.MethodPost, path: "/tasks/" + url.PathEscape(id) + "/" + verb,
		body: body, cmd: cmd, task: id,
	}, &out)
	return out, err
}

// grantBody is the body and the answer of a call to Grant.
type grantBody struct {
	Command
	TTL int64  `json:"ttl,omitempty"` // milliseconds
	ID  uint64 `json:"id,omitempty"`
}

// Grant creates a lease that tasks can run under, and returns its identifier.
func (c *Client) Grant(ctx context.Context, cmd Command, ttl time.Duration) (uint64, error) {
	var out grantBody
	err := c.call(ctx, request{
		op: "grant", method: http.MethodPost, path: "/grants", cmd: cmd,
		body: grantBody{Command: cmd, TTL: ttl.Milliseconds()},
	}, &out)
	return out.ID, err
}

// Renew extends a grant by its ttl, or returns a GrantError or FencedError. Unless it is sent before the given time, it fails
// without effect.
func (c *Client) Renew(ctx context.Context, grant uint64, cmd Command, before time.Time) error {
	return c.call(ctx, request{
		op: "renew", method: http.MethodPost, path: fmt.Sprintf("/grants/%d/renew", grant),
		body: cmd, cmd: cmd, grant: grant, before: before,
	}, nil)
}

// Revoke ends a grant and the tasks that run under it, or returns a GrantError or FencedError.
func (c *Client) Revoke(ctx context.Context, grant uint64, cmd Command) error {
	return c.call(ctx, request{
		op: "revoke", method: http.MethodDelete, path: fmt.Sprintf("/grants/%d", grant),
		body: cmd, cmd: cmd, grant: grant,
	}, nil)
}

// Usage returns the usage of the tasks that the service has measured. Malformed elements are left out.
func (c *Client) Usage(ctx context.Context) ([]Usage, error) {
	var out struct {
		Usage []json.RawMessage `json:"usage"`
	}
	err := c.call(ctx, request{op: "usage", method: http.MethodGet, path: "/usage", maxBytes: maxUsageBytes}, &out)
	var list []Usage
	for _, raw := range out.Usage {
		var u Usage
		if json.Unmarshal(raw, &u) == nil {
			list = append(list, u)
		}
	}
	return list, err
}

// request describes a call to the service, with the values that its errors name.
type request struct {
	op, method, path string
	body             any
	cmd              Command
	task             string
	grant            uint64
	// before is the time before which the request must be sent; zero means that there is none.
	before time.Time
	// maxBytes bounds the answer; 0 means maxAnswerBytes.
	maxBytes int64
}

// call sends a request and decodes the answer into out, unless that is nil.
func (c *Client) call(ctx context.Context, r request, out any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := call.NewRequest(ctx, r.method, c.URL+r.path, r.body)
	if err != nil {
		return err
	}
	if !r.before.IsZero() {
		call.SendBefore(req, r.before)
	}
	status, data, err := call.Do(c.HTTP, req, cmp.Or(r.maxBytes, maxAnswerBytes))
	if err != nil {
		return &UnavailableError{Op: r.op, Cause: err}
	}
	return r.decode(status, data, out)
}

// decode decodes the body of an answer into out, or returns the error that belongs to the status.
func (r request) decode(status int, data []byte, out any) error {
	if status == http.StatusOK {
		if out == nil {
			return nil
		}
		if err := json.Unmarshal(data, out); err != nil {
			return &UnavailableError{Op: r.op, Cause: err}
		}
		return nil
	}
	var refusal struct {
		Reason string      `json:"reason"`
		Have   model.Epoch `json:"have"`
	}
	if err := json.Unmarshal(data, &refusal); err == nil {
		switch status {
		case http.StatusPreconditionFailed:
			return &FencedError{Cell: r.cmd.Cell, Want: r.cmd.Epoch, Have: refusal.Have}
		case http.StatusGone:
			return &GrantError{Grant: r.grant}
		case http.StatusNotFound:
			return &UnknownTaskError{Task: r.task}
		case http.StatusConflict:
			return &RefusedError{Task: r.task, Reason: refusal.Reason}
		}
	}
	return &UnavailableError{Op: r.op, Cause: fmt.Errorf("HTTP status %d", status)}
}
