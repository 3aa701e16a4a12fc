package intake

import (
	"context"
	"sync"
)

// defaultWidth is the width of a Gate that sets none. Two let a small body pass beside a large one on a VM with a fifth of a
// core.
const defaultWidth = 2

// Gate bounds the number of bodies that are decoded at the same time: decoded values take several times the memory of their text.
type Gate struct {
	// Width is the number of bodies decoded at the same time; 0 means defaultWidth. It is set before the first use.
	Width int

	once   sync.Once
	places chan struct{}
}

// BusyError reports a body that wasn't decoded because too many others were.
type BusyError struct{ Cause error }

// Error gives the reason for which the wait ended.
func (e *BusyError) Error() string {
	return "request body not decoded, too many others are: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BusyError) Unwrap() error { return e.Cause }

// Enter waits for a place. It returns a BusyError if ctx ends first.
func (g *Gate) Enter(ctx context.Context) error {
	g.once.Do(func() {
		width := g.Width
		if width == 0 {
			width = defaultWidth
		}
		g.places = make(chan struct{}, width)
	})
	select {
	case g.places <- struct{}{}:
		return nil
	default:
	}
	select {
	case g.places <- struct{}{}:
		return nil
	case <-ctx.Done():
		return &BusyError{ctx.Err()}
	}
}

// Leave gives a place back.
func (g *Gate) Leave() { <-g.places }
