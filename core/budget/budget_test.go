package budget

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model follows a Budget with simple data, to check its decisions against the rules.
type model struct {
	budget Budget
	bodies []*modelBody
}

// modelBody is a body in progress. Its position in model.bodies is the order in which bodies last received something.
type modelBody struct {
	body     *Body
	name     string
	held     int64
	complete bool
}

func (m *model) heldBy(name string) int64 {
	var held int64
	for _, b := range m.bodies {
		if b.name == name {
			held += b.held
		}
	}
	return held
}

func (m *model) total() int64 {
	var held int64
	for _, b := range m.bodies {
		held += b.held
	}
	return held
}

func (m *model) remove(body *Body) *modelBody {
	i := slices.IndexFunc(m.bodies, func(b *modelBody) bool { return b.body == body })
	if i < 0 {
		return nil
	}
	b := m.bodies[i]
	m.bodies = slices.Delete(m.bodies, i, i+1)
	return b
}

// grow grows a body and checks who was evicted for it. Without the rule under test, a large number of open bodies keeps out all
// others, which is how the process ran out of memory or refused ordinary callers.
func (m *model) grow(t *rapid.T, now time.Time, b *modelBody, n int64) {
	victims, err := m.budget.Grow(now, b.body, n)
	if !b.complete {
		m.bodies = append(slices.DeleteFunc(m.bodies, func(o *modelBody) bool { return o == b }), b)
	}
	if err != nil {
		var full *FullError
		if !errors.As(err, &full) || len(victims) > 0 {
			t.Fatalf("got error %v with %d evicted, want a FullError without any", err, len(victims))
		}
		if len(m.bodies) == 1 && b.held+n <= MaxBody(m.budget.Limit) {
			t.Fatalf("a lone body of %d bytes was refused in a budget of %d", b.held+n, m.budget.Limit)
		}
		return
	}
	for _, body := range victims {
		m.checkVictim(t, body, b, n)
		m.remove(body)
	}
	b.held += n
}

// checkVictim checks the eviction of a body in favour of another one that grows by n.
func (m *model) checkVictim(t *rapid.T, body *Body, grown *modelBody, n int64) {
	i := slices.IndexFunc(m.bodies, func(b *modelBody) bool { return b.body == body })
	if i < 0 {
		t.Fatal("evicted a body that is not in progress")
	}
	victim := m.bodies[i]
	if victim.complete || victim == grown {
		t.Fatalf("evicted a body that is complete (%v) or the one that grows", victim.complete)
	}
	for _, other := range m.bodies[:i] {
		if other.name == victim.name && !other.complete {
			t.Fatalf("evicted a body of %s while another one of the same holder has been idle for longer", victim.name)
		}
	}
	held := m.heldBy(victim.name)
	if victim.name == grown.name {
		return
	}
	if own := m.heldBy(grown.name) + n; own > held {
		t.Fatalf("evicted a body of %s, which holds %d, for one of %s, which then holds %d", victim.name, held, grown.name, own)
	}
	for _, other := range m.bodies {
		if got := m.heldBy(other.name); !other.complete && other != grown && got > held {
			t.Fatalf("evicted a body of %s, which holds %d, while %s holds %d", victim.name, held, other.name, got)
		}
	}
}

// TestBudgetRules checks with generated sequences of calls: the sum never exceeds the limit; a lone body inside the limit is never
// refused; a holder with little isn't evicted from while another one holds more; and within a holder the body that has been idle
// for the longest time goes first.
func TestBudgetRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{budget: Budget{Limit: rapid.Int64Range(1, 400).Draw(t, "limit")}}
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Second)
			var b *modelBody
			if len(m.bodies) > 0 {
				b = rapid.SampledFrom(m.bodies).Draw(t, "body")
			}
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case b == nil || action < 3:
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "holder")
				m.bodies = append(m.bodies, &modelBody{body: m.budget.Admit(now, name), name: name})
			case action < 7:
				m.grow(t, now, b, rapid.Int64Range(0, 150).Draw(t, "bytes"))
			case action == 7:
				m.budget.Complete(b.body)
				b.complete = true
			case action == 8:
				m.budget.Release(b.body)
				m.remove(b.body)
			default:
				if body := m.budget.Evict(); body != nil {
					if v := m.remove(body); v == nil || v.complete {
						t.Fatal("evicted a body that is complete or not in progress")
					}
				}
			}
			if got, want := m.budget.Held(), m.total(); got != want || got > m.budget.Limit {
				t.Fatalf("held: got %d, want %d, at most %d", got, want, m.budget.Limit)
			}
			if got, want := m.budget.Bodies(), len(m.bodies); got != want {
				t.Fatalf("bodies: got %d, want %d", got, want)
			}
		}
	})
}

// TestOrdinaryCallerFindsRoom checks that a caller who comes when a thousand stalled bodies of two other teams hold the whole
// budget is admitted at their cost, and so is a further caller of one of them.
func TestOrdinaryCallerFindsRoom(t *testing.T) {
	b := Budget{Limit: 1000}
	now := time.Unix(0, 0)
	for i := range 2000 {
		now = now.Add(time.Millisecond)
		if _, err := b.Grow(now, b.Admit(now, []string{"flood", "flood 2"}[i%2]), 1); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := b.Held(), b.Limit; got != want {
		t.Fatalf("held before the caller: got %d, want %d", got, want)
	}
	for _, name := range []string{"ordinary", "flood"} {
		body := b.Admit(now, name)
		for range 5 {
			if victims, err := b.Grow(now, body, 40); err != nil {
				t.Errorf("%s: got %v after %d evicted, want room", name, err, len(victims))
			}
		}
		b.Complete(body)
	}
}

// TestStalledBodyGoesBeforeOneThatArrives checks the order within a team: an older body that still receives bytes must not be
// given up while a newer one is stalled.
func TestStalledBodyGoesBeforeOneThatArrives(t *testing.T) {
	b := Budget{Limit: 400}
	now := time.Unix(0, 0)
	arriving, stalled := b.Admit(now, "a"), b.Admit(now, "a")
	for _, body := range []*Body{arriving, stalled, arriving} {
		now = now.Add(time.Second)
		if _, err := b.Grow(now, body, 100); err != nil {
			t.Fatal(err)
		}
	}
	victims, err := b.Grow(now, arriving, 100)
	if err != nil || len(victims) != 1 || victims[0] != stalled {
		t.Errorf("got %d evicted, %v, want the stalled one", len(victims), err)
	}
}

// TestOneTeamLeavesRoomForOthers checks that complete bodies, which can't be evicted, don't take the whole budget for one team:
// a team whose submissions wait for a slow store would keep out all others.
func TestOneTeamLeavesRoomForOthers(t *testing.T) {
	b := Budget{Limit: 400}
	now := time.Unix(0, 0)
	refused := 0
	for range 10 {
		body := b.Admit(now, "a")
		if _, err := b.Grow(now, body, 100); err != nil {
			refused++
			b.Release(body)
			continue
		}
		b.Complete(body)
	}
	if got, want := refused, 7; got != want {
		t.Errorf("refused of one team: got %d, want %d", got, want)
	}
	if _, err := b.Grow(now, b.Admit(now, "b"), 100); err != nil {
		t.Errorf("another team: got %v, want room", err)
	}
}

// BenchmarkRequest measures the cost of the decisions for one ordinary request.
func BenchmarkRequest(b *testing.B) {
	budget := Budget{Limit: 1 << 20}
	now := time.Unix(0, 0)
	for range 100 {
		if _, err := budget.Grow(now, budget.Admit(now, "other"), 1000); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		body := budget.Admit(now, "a")
		_, _ = budget.Grow(now, body, 1024)
		budget.Complete(body)
		budget.Release(body)
	}
}
