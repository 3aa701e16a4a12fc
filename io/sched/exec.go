package sched

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"wagtailhoist/core/cell"
	"wagtailhoist/core/model"
	"wagtailhoist/io/store"
	"wagtailhoist/io/works"
)

const (
	// leaseWait bounds calls about the owner's lease, so that one without an answer leaves time for another
	// within the lease (1 s).
	leaseWait = 300 * time.Millisecond
	// planWait bounds reads and writes of the plan.
	planWait = time.Second
)

// KeyValue is the part of the store that cells need.
type KeyValue interface {
	Get(ctx context.Context, key string) (store.Item, error)
	Put(ctx context.Context, key string, value []byte, version, lease uint64) (uint64, error)
	List(ctx context.Context, prefix string) ([]store.Item, uint64, error)
	Watch(ctx context.Context, prefix string, after uint64) ([]store.Item, uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// keys are the keys of one cell.
type keys struct{ owner, plan, base, log string }

func keysOf(id model.CellID) keys {
	root := "cells/" + string(id)
	return keys{root + "/owner", root + "/plan/", root + "/plan/base", root + "/plan/log"}
}

// ownerValue is the value of the owner's key.
type ownerValue struct {
	Owner model.NodeID `json:"owner"`
	Epoch model.Epoch  `json:"epoch"`
}

// hands carries out the effects of one cell.
type hands struct {
	id    model.CellID
	self  model.NodeID
	ttl   time.Duration
	keys  keys
	store KeyValue
	works works.Works
	now   func() time.Time
	// missing takes workers that the worker service refused to use.
	missing func(model.WorkerID)
}

// do carries out an effect and returns its answer. The time of sending is taken before the call, since leases
// count from it; an effect whose time has passed, for example because the process was paused, is not sent.
func (h *hands) do(ctx context.Context, e cell.Effect) cell.Answer {
	sent := h.now()
	if by := deadline(e); !by.IsZero() && sent.After(by) {
		return cell.Answer{To: e, Code: cell.Overdue, Sent: sent}
	}
	a, err := h.toStore(ctx, e)
	if a.To == nil {
		a, err = h.toWorks(ctx, e)
	}
	a.To, a.Sent = e, sent
	if err != nil {
		a.Code = classify(err)
	}
	return a
}

func deadline(e cell.Effect) time.Time {
	switch e := e.(type) {
	case cell.RenewTasks:
		return e.By
	case cell.ReleaseTask:
		return e.By
	}
	return time.Time{}
}

// classify maps an error to what the decisions distinguish; anything else leaves the effect unknown.
func classify(err error) cell.Code {
	var (
		conflict *store.ConflictError
		lease    *store.LeaseError
		fenced   *works.FencedError
		grant    *works.GrantError
		refused  *works.RefusedError
	)
	switch {
	case errors.As(err, &conflict):
		return cell.Conflict
	case errors.As(err, &lease):
		return cell.LeaseEnded
	case errors.As(err, &fenced):
		return cell.Fenced
	case errors.As(err, &grant):
		return cell.GrantEnded
	case errors.As(err, &refused):
		return cell.Refused
	}
	return cell.Unknown
}

// toStore carries out an effect at the store; the answer names the effect if it was one.
func (h *hands) toStore(ctx context.Context, e cell.Effect) (a cell.Answer, err error) {
	wait := leaseWait
	switch e := e.(type) {
	case cell.WriteBase, cell.WriteLog:
		wait = planWait
	case cell.LoadPlan:
		if !e.Probe {
			wait = planWait
		}
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	a.To = e
	switch e := e.(type) {
	case cell.GrantLease:
		a.ID, err = h.store.Grant(ctx, e.TTL)
	case cell.RenewLease:
		err = h.store.Renew(ctx, e.Lease)
	case cell.RevokeLease:
		err = h.store.Revoke(ctx, e.Lease)
	case cell.WriteOwner:
		var value []byte
		if value, err = json.Marshal(ownerValue{h.self, e.Epoch}); err == nil {
			a.Version, err = h.store.Put(ctx, h.keys.owner, value, 0, e.Lease)
		}
	case cell.LoadPlan:
		a.Stored, err = h.load(ctx)
	case cell.WriteBase:
		a.Version, err = h.store.Put(ctx, h.keys.base, e.Value, e.Version, 0)
	case cell.WriteLog:
		a.Version, err = h.store.Put(ctx, h.keys.log, e.Value, e.Version, 0)
	default:
		a.To = nil
	}
	return a, err
}

// load reads base and log in one call, so that they belong together.
func (h *hands) load(ctx context.Context) (cell.Stored, error) {
	items, _, err := h.store.List(ctx, h.keys.plan)
	var s cell.Stored
	for _, item := range items {
		switch item.Key {
		case h.keys.base:
			s.Base, s.BaseVersion = item.Value, item.Version
		case h.keys.log:
			s.Changes, s.ChangesVersion = item.Value, item.Version
		}
	}
	return s, err
}

func (h *hands) command(c cell.Command) works.Command {
	return works.Command{Cell: h.id, Epoch: c.Epoch, Plan: c.Plan}
}

// toWorks carries out an effect at the worker service.
func (h *hands) toWorks(ctx context.Context, e cell.Effect) (a cell.Answer, err error) {
	var task works.Task
	switch e := e.(type) {
	case cell.Fence:
		// A grant is the one command with an epoch that touches no task; it ends by itself.
		_, err = h.works.Grant(ctx, h.command(e.Command), time.Second)
	case cell.ListTasks:
		var tasks []works.Task
		tasks, err = h.works.Tasks(ctx, h.id)
		for _, t := range tasks {
			a.Tasks = append(a.Tasks, seen(t))
		}
	case cell.GrantTasks:
		a.ID, err = h.works.Grant(ctx, h.command(e.Command), e.TTL)
	case cell.RenewTasks:
		err = h.works.Renew(ctx, e.Grant, h.command(e.Command))
	case cell.RevokeTasks:
		err = h.works.Revoke(ctx, e.Grant, h.command(e.Command))
	case cell.PrepareTask:
		task, err = h.works.Prepare(ctx, works.Task{
			Command: h.command(e.Command), ID: e.Task.ID, Worker: e.Task.Worker, GPUs: e.Task.GPUs,
			Job: e.Task.Job, Lease: e.Task.Grant,
		})
		var refused *works.RefusedError
		if errors.As(err, &refused) && refused.Reason == works.NoWorker {
			h.missing(e.Task.Worker)
		}
	case cell.ReleaseTask:
		task, err = h.works.Throttle(ctx, e.Task, h.command(e.Command), 1)
	case cell.SaveTask:
		task, err = h.works.Checkpoint(ctx, e.Task, h.command(e.Command))
	}
	a.Task = seen(task)
	return a, err
}

func seen(t works.Task) cell.Task {
	return cell.Task{
		ID: t.ID, Job: t.Job, Worker: t.Worker, GPUs: t.GPUs, Grant: t.Lease, State: cell.State(t.State),
	}
}
