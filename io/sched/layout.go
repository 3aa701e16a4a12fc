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
	// layoutKey is the store's key of the layout of the cells. The first process writes it.
	layoutKey = "cells/layout"
	// layoutWait bounds one call for the layout, layoutPause is the time between calls that failed.
	layoutWait  = 2 * time.Second
	layoutPause = 250 * time.Millisecond
)

// agree takes the layout of the cells from the store. Two processes with different layouts would give the same worker
// two owners, so nothing is controlled before the store has answered.
func (s *Sched) agree(ctx context.Context) {
	want := s.Layout
	if want == "" {
		want = assign.ByCentre
	}
	for ctx.Err() == nil {
		got, err := s.layout(ctx, want)
		if err == nil {
			if got != want {
				s.logger().Error("the stored layout of the cells is used instead of the one that is set", "stored", string(got), "set", string(want))
			}
			s.mu.Lock()
			s.Layout, s.agreed = got, true
			s.mu.Unlock()
			return
		}
		s.logger().Warn("reading the layout of the cells", "error", err.Error())
		pause(ctx, layoutPause)
	}
}

// layout reads the stored layout and writes the wanted one if there is none.
func (s *Sched) layout(ctx context.Context, want assign.Layout) (assign.Layout, error) {
	ctx, cancel := context.WithTimeout(ctx, layoutWait)
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
		// If the answer was lost, the next call finds the key.
		return want, err
	}
	// Another process was first.
	if item, err = s.Store.Get(ctx, layoutKey); err != nil {
		return "", err
	}
	return assign.ParseLayout(string(item.Value))
}

// Mark returns workers with their cells, or a LayoutError before the layout is known.
func (s *Sched) Mark(workers []model.Worker) ([]model.Worker, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.agreed {
		return nil, &LayoutError{}
	}
	return assign.SetCells(s.Layout, workers), nil
}
