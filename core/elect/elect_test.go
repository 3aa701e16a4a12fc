package elect

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.UnixMilli(1_000_000)

// An entry that can't carry the decisions of the fleet must not win an election only because it is nearest to the store.
func TestWeakEntryWaitsForStrongOnes(t *testing.T) {
	for _, tc := range []struct {
		name      string
		share     float64
		others    []Entry
		roundTrip time.Duration
		want      time.Duration
	}{
		{"alone", 0.2, nil, 4 * time.Millisecond, 24 * time.Millisecond},
		{"equal share", 0.4, []Entry{{0.4}, {0.4}}, 4 * time.Millisecond, 24 * time.Millisecond},
		{"strongest, far from the store", 0.8, []Entry{{0.2}, {0.8}}, 200 * time.Millisecond, maxDistanceDelay},
		{"weak, near the store", 0.2, []Entry{{0.2}, {0.8}}, time.Millisecond, weakDelay + 6*time.Millisecond},
		{"unknown share", 0, []Entry{{0.8}}, 4 * time.Millisecond, 24 * time.Millisecond},
	} {
		c := Candidate{Share: tc.share}
		if got := c.Delay(epoch, tc.roundTrip, tc.others); got != tc.want {
			t.Errorf("%s: got a delay of %v, want %v", tc.name, got, tc.want)
		}
	}
}

// A weak entry that was elected while no strong one was there hands over once one is, and then lets it stand first.
func TestWeakOwnerHandsOverToAStrongEntry(t *testing.T) {
	c := Candidate{Share: 0.2}
	c.BeginTerm(epoch)
	strong := []Entry{{0.8}}
	for _, tc := range []struct {
		age    time.Duration
		others []Entry
		want   bool
	}{
		{minTerm - 1, strong, false},
		{time.Minute, []Entry{{0.2}}, false},
		{minTerm, strong, true},
	} {
		if got := c.HandOver(epoch.Add(tc.age), tc.others) != ""; got != tc.want {
			t.Errorf("after %v beside %v: got a hand-over %v, want %v", tc.age, tc.others, got, tc.want)
		}
	}
	now := epoch.Add(minTerm)
	c.RecordHandOver(now)
	if got, least := c.Delay(now, 0, strong), weakDelay+yieldDelay; got < least {
		t.Errorf("got a delay of %v after the hand-over, want at least %v", got, least)
	}
}

// An owner that is slowed down decides later and later; it must hand over, but not for a single late event.
func TestLateOwnerHandsOver(t *testing.T) {
	others := []Entry{{0.8}}
	for _, tc := range []struct {
		name string
		// lags are the lags of events that follow each other every half second, from minTerm on.
		lags []time.Duration
		want bool
	}{
		{"prompt", []time.Duration{0, 0, 0, 0, 0, 0}, false},
		{"one late event", []time.Duration{0, 5 * time.Second, 0, 0, 0, 0}, false},
		{"late with breaks", []time.Duration{time.Second, time.Second, time.Second, 0, time.Second, time.Second}, false},
		{"late without a break", []time.Duration{time.Second, time.Second, time.Second, time.Second, time.Second, time.Second}, true},
	} {
		c := Candidate{Share: 0.8}
		c.BeginTerm(epoch)
		now := epoch.Add(minTerm)
		for _, lag := range tc.lags {
			now = now.Add(500 * time.Millisecond)
			c.RecordLag(now, lag)
		}
		if got := c.HandOver(now, others) != ""; got != tc.want {
			t.Errorf("%s: got a hand-over %v, want %v", tc.name, got, tc.want)
		}
	}
}

// A late owner that hands over must not win the next election by being nearest to the store.
func TestLateOwnerLetsOthersStandFirst(t *testing.T) {
	others := []Entry{{0.8}}
	late, far := Candidate{Share: 0.8}, Candidate{Share: 0.8}
	late.RecordHandOver(epoch)
	if near, other := late.Delay(epoch, 0, others), far.Delay(epoch, time.Second, others); near <= other {
		t.Errorf("delay after the hand-over: got %v, want more than the %v of the farthest entry", near, other)
	}
	if got, want := late.Delay(epoch.Add(yieldTime), 0, others), time.Duration(0); got != want {
		t.Errorf("delay some time after the hand-over: got %v, want %v", got, want)
	}
}

// Entries that are all late, or whose strong ones never take over, must not hand over to each other again and again: each
// hand-over interrupts decisions.
func TestHandOversAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]Candidate, rapid.IntRange(2, 6).Draw(t, "entries"))
		for i := range entries {
			entries[i].Share = rapid.SampledFrom([]float64{0.2, 0.4, 0.8}).Draw(t, "share")
		}
		handOvers := 0
		now, owner := epoch, 0
		entries[owner].BeginTerm(now)
		for range 10 * 60 * 5 {
			now = now.Add(200 * time.Millisecond)
			var others []Entry
			for i := range entries {
				if i != owner {
					others = append(others, Entry{entries[i].Share})
				}
			}
			entries[owner].RecordLag(now, time.Minute)
			if entries[owner].HandOver(now, others) == "" {
				continue
			}
			entries[owner].RecordHandOver(now)
			handOvers++
			owner = rapid.IntRange(0, len(entries)-1).Draw(t, "elected")
			entries[owner].BeginTerm(now)
		}
		// In ten minutes an entry hands over up to six times before its shortest term is two minutes long, and then at most
		// five times.
		if most := 11 * len(entries); handOvers > most {
			t.Fatalf("%d entries handed over %d times in ten minutes, want at most %d times", len(entries), handOvers, most)
		}
	})
}
