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
	// leaseTimeout bounds the calls for the owner's lease, so that a call without an answer can be repeated before the lease
	// of 1 s ends.
	leaseTimeout = 300 * time.Millisecond
	// planTimeout bounds reads and writes of the plan.
	planTimeout = time.Second
)

// KeyValue is the part of the store's API that cells use; store.Client implements it.
type KeyValue interface {
	Get(ctx context.Context, key string) (store.Item, error)
	Put(ctx context.Context, key string, value []byte, version, lease uint64) (uint64, error)
	List(ctx context.Context, prefix string) ([]store.Item, uint64, error)
	Watch(ctx context.Context, prefix string, after uint64) ([]store.Item, uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// keys holds the keys of one cell in the store; plan is the common prefix of base and log.
type keys struct{ owner, plan, base, log string }

func cellKeys(id model.CellID) keys {
	root := "cells/" + string(id)
	return keys{root + "/owner", root + "/plan/", root + "/plan/base", root + "/plan/log"}
}

// ownerValue is the JSON value of the owner's key.
type ownerValue struct {
	Owner model.NodeID `json:"owner"`
	Epoch model.Epoch  `json:"epoch"`
}

// executor carries out the effects of one cell at the store and the worker service.
type executor struct {
	id    model.CellID
	self  model.NodeID
	ttl   time.Duration
	keys  keys
	store KeyValue
	works works.Works
	now   func() time.Time
	// markWorkerLost is called for a worker that the worker service refuses as lost or unknown.
	markWorkerLost func(model.WorkerID)
}

// execute carries out an effect and returns its answer. The answer holds the time before the call, from which the duration of
// a lease is counted. An effect whose deadline has passed, for example because the process was paused, is not sent.
func (x *executor) execute(ctx context.Context, e cell.Effect) cell.Answer {
	sent := x.now()
	if deadline := effectDeadline(e); !deadline.IsZero() && sent.After(deadline) {
		return cell.Answer{ForEffect: e, Code: cell.Overdue, Sent: sent}
	}
	a, err := x.executeAtStore(ctx, e)
	if a.ForEffect == nil {
		a, err = x.executeAtWorkerService(ctx, e)
	}
	a.ForEffect, a.Sent = e, sent
	if err != nil {
		a.Code = classify(err)
	}
	return a
}

// effectDeadline returns the time after which an effect must not be sent; zero means that there is none.
func effectDeadline(e cell.Effect) time.Time {
	switch e := e.(type) {
	case cell.RenewTasks:
		return e.Deadline
	case cell.ReleaseTask:
		return e.Deadline
	}
	return time.Time{}
}

// classify maps an error to the code of an answer. After an error that is no definite refusal, it is unknown whether the effect
// took place.
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
	return cell.OutcomeUnknown
}

// executeAtStore carries out an effect if it is one for the store; otherwise To of the answer is nil.
func (x *executor) executeAtStore(ctx context.Context, e cell.Effect) (a cell.Answer, err error) {
	timeout := leaseTimeout
	switch e := e.(type) {
	case cell.WriteBase, cell.WriteLog:
		timeout = planTimeout
	case cell.LoadPlan:
		if !e.Probe {
			timeout = planTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.ForEffect = e
	switch e := e.(type) {
	case cell.GrantLease:
		a.ID, err = x.store.Grant(ctx, e.TTL)
	case cell.RenewLease:
		err = x.store.Renew(ctx, e.Lease)
	case cell.RevokeLease:
		err = x.store.Revoke(ctx, e.Lease)
	case cell.WriteOwner:
		var value []byte
		if value, err = json.Marshal(ownerValue{x.self, e.Epoch}); err == nil {
			a.Version, err = x.store.Put(ctx, x.keys.owner, value, 0, e.Lease)
		}
	case cell.LoadPlan:
		a.Stored, err = x.loadPlan(ctx)
	case cell.WriteBase:
		a.Version, err = x.store.Put(ctx, x.keys.base, e.Value, e.Version, 0)
	case cell.WriteLog:
		a.Version, err = x.store.Put(ctx, x.keys.log, e.Value, e.Version, 0)
	default:
		a.ForEffect = nil
	}
	return a, err
}

// loadPlan reads base and log of the plan in one call, so that they are of the same revision of the store.
func (x *executor) loadPlan(ctx context.Context) (cell.Stored, error) {
	items, _, err := x.store.List(ctx, x.keys.plan)
	var s cell.Stored
	for _, item := range items {
		switch item.Key {
		case x.keys.base:
			s.Base, s.BaseVersion = item.Value, item.Version
		case x.keys.log:
			s.Changes, s.ChangesVersion = item.Value, item.Version
		}
	}
	return s, err
}

// workerCommand returns the command with which the worker service checks the epoch of the owner.
func (x *executor) workerCommand(c cell.Command) works.Command {
	return works.Command{Cell: x.id, Epoch: c.Epoch, Plan: c.Plan}
}

// executeAtWorkerService carries out an effect at the worker service.
func (x *executor) executeAtWorkerService(ctx context.Context, e cell.Effect) (a cell.Answer, err error) {
	var task works.Task
	switch e := e.(type) {
	case cell.Fence:
		// Of the commands that raise the highest epoch at the worker service, a grant is the only one that changes no
		// task. It expires by itself.
		_, err = x.works.Grant(ctx, x.workerCommand(e.Command), time.Second)
	case cell.ListTasks:
		var tasks []works.Task
		tasks, err = x.works.Tasks(ctx, x.id)
		for _, t := range tasks {
			a.Tasks = append(a.Tasks, toCellTask(t))
		}
	case cell.GrantTasks:
		a.ID, err = x.works.Grant(ctx, x.workerCommand(e.Command), e.TTL)
	case cell.RenewTasks:
		before := time.Now().Add(e.Deadline.Sub(x.now()))
		err = x.works.Renew(ctx, e.Grant, x.workerCommand(e.Command), before)
	case cell.RevokeTasks:
		err = x.works.Revoke(ctx, e.Grant, x.workerCommand(e.Command))
	case cell.PrepareTask:
		task, err = x.works.Prepare(ctx, works.Task{
			Command: x.workerCommand(e.Command), ID: e.Task.ID, Worker: e.Task.Worker, GPUs: e.Task.GPUs,
			Job: e.Task.Job, Lease: e.Task.Grant,
		})
		var refused *works.RefusedError
		if errors.As(err, &refused) && refused.Reason == works.ReasonWorkerUnavailable {
			x.markWorkerLost(e.Task.Worker)
		}
	case cell.ReleaseTask:
		task, err = x.works.Throttle(ctx, e.Task, x.workerCommand(e.Command), 1)
	case cell.SaveTask:
		task, err = x.works.Checkpoint(ctx, e.Task, x.workerCommand(e.Command))
	}
	a.Task = toCellTask(task)
	return a, err
}

// toCellTask converts a task of the worker service.
func toCellTask(t works.Task) cell.Task {
	return cell.Task{
		ID: t.ID, Job: t.Job, Worker: t.Worker, GPUs: t.GPUs, Grant: t.Lease, State: cell.State(t.State),
	}
}
