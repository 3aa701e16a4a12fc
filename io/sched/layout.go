package sched

import (
	"context"
	"errors"
	"time"

	"wagtailhoist/core/assign"
	"wagtailhoist/core/model"
	"wagtailhoist/io/store"
)

const (
	// layoutKey is the key of the layout in the store. The first process writes it.
	layoutKey = "cells/layout"
	// layoutTimeout bounds the calls of one attempt to read or write the layout; layoutRetryPause is the time before the next
	// attempt.
	layoutTimeout    = 2 * time.Second
	layoutRetryPause = 250 * time.Millisecond
)

// loadLayout sets Layout to the stored layout, which it waits for: with different layouts, two processes would put a worker
// into different cells, each with an owner of its own.
func (s *Sched) loadLayout(ctx context.Context) {
	want := s.Layout
	if want == "" {
		want = assign.ByCentre
	}
	for ctx.Err() == nil {
		got, err := s.readOrWriteLayout(ctx, want)
		if err == nil {
			if got != want {
				s.logger().Error("the stored layout of the cells is used instead of the one that is set", "stored", string(got), "set", string(want))
			}
			s.mu.Lock()
			s.Layout, s.layoutKnown = got, true
			s.mu.Unlock()
			return
		}
		s.logger().Warn("reading the layout of the cells from the store failed; no cell is scheduled until it is read", "error", err.Error())
		pause(ctx, layoutRetryPause)
	}
}

// readOrWriteLayout reads the stored layout, or stores the wanted one if there is none.
func (s *Sched) readOrWriteLayout(ctx context.Context, want assign.Layout) (assign.Layout, error) {
	ctx, cancel := context.WithTimeout(ctx, layoutTimeout)
	defer cancel()
	item, err := s.Store.Get(ctx, layoutKey)
	var missing *store.NotFoundError
	if err == nil {
		return assign.ParseLayout(string(item.Value))
	}
	if !errors.As(err, &missing) {
		return "", err
	}
	_, err = s.Store.Put(ctx, layoutKey, []byte(want), 0, 0)
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		// If the write took effect but its answer was lost, the next attempt reads the key.
		return want, err
	}
	// Another process has written the layout in between.
	if item, err = s.Store.Get(ctx, layoutKey); err != nil {
		return "", err
	}
	return assign.ParseLayout(string(item.Value))
}

// SetCells sets the cells of workers according to the stored layout. It returns a LayoutError before the layout is read.
func (s *Sched) SetCells(workers []model.Worker) ([]model.Worker, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.layoutKnown {
		return nil, &LayoutError{}
	}
	return assign.SetCells(s.Layout, workers), nil
}
