package runner

import (
	"context"
	"sync/atomic"
	"testing"
)

// An owner that lost power doesn't answer: the agent must leave it when the next one is known, not when its dial or link
// times out.
func TestAgentLeavesForTheNextOwner(t *testing.T) {
	changed := make(chan struct{})
	var owner atomic.Value
	owner.Store("a")
	r := &Runner{Owner: func() string { return owner.Load().(string) }, OwnerChanged: changed}
	returned := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		r.awaitOtherOwner(ctx, "a")
		close(returned)
	}()
	for _, next := range []string{"a", ""} {
		owner.Store(next)
		changed <- struct{}{}
	}
	// The channel has no buffer: once a value is received, the ones before have been handled.
	select {
	case <-returned:
		t.Fatal("the agent left although no other owner is known")
	case changed <- struct{}{}:
	}
	owner.Store("b")
	select {
	case changed <- struct{}{}:
	case <-returned:
	}
	<-returned
}
