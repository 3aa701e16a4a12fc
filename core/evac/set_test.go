package evac

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A process without a listing must not take any data centre as evacuated, nor crash.
func TestZeroValueHasNoCentre(t *testing.T) {
	var s Set
	if s.Contains("a") || s.Contains("") || len(s.Centres()) != 0 {
		t.Errorf("got %v evacuated, want none", s.Centres())
	}
}

// Answers may overtake each other. A late one must neither withdraw a later request nor bring back one that was withdrawn: tasks
// would start in an evacuated data centre, or none in one that is back in service.
func TestLateAnswersAreIgnored(t *testing.T) {
	for _, tc := range []struct {
		name  string
		apply func(*Set)
		want  []string
	}{
		{"withdrawal before the request", func(s *Set) {
			s.Apply(Change{"a", 7, true})
			s.Apply(Change{"a", 5, false})
		}, []string{"a"}},
		{"request before the withdrawal", func(s *Set) {
			s.Apply(Change{"a", 7, false})
			s.Apply(Change{"a", 5, true})
		}, nil},
		{"change before the listing", func(s *Set) {
			s.Replace(nil, 9)
			s.Apply(Change{"a", 8, true})
		}, nil},
		{"listing before the request", func(s *Set) {
			s.Apply(Change{"a", 7, true})
			s.Replace(nil, 5)
		}, []string{"a"}},
		{"listing before the withdrawal", func(s *Set) {
			s.Apply(Change{"a", 7, false})
			s.Replace([]Request{{"a", 4}}, 5)
		}, nil},
		{"listing before another listing", func(s *Set) {
			s.Replace([]Request{{"a", 4}}, 9)
			s.Replace(nil, 3)
		}, []string{"a"}},
		{"request that is newer than its listing", func(s *Set) {
			s.Replace([]Request{{"a", 12}}, 9)
			s.Apply(Change{"a", 11, false})
		}, []string{"a"}},
		{"the same request again", func(s *Set) {
			s.Apply(Change{"a", 7, true})
			s.Apply(Change{"a", 8, true})
			s.Apply(Change{"a", 7, true})
		}, []string{"a"}},
		{"listing after the request", func(s *Set) {
			s.Apply(Change{"a", 7, true})
			s.Replace([]Request{{"b", 8}}, 8)
		}, []string{"b"}},
	} {
		var s Set
		tc.apply(&s)
		if got := s.Centres(); !slices.Equal(got, tc.want) {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

// An empty name must not match the workers whose data centre isn't known.
func TestEmptyNameHasNoEffect(t *testing.T) {
	var s Set
	s.Replace([]Request{{"", 3}}, 3)
	s.Apply(Change{"", 4, true})
	if s.Contains("") || len(s.Centres()) != 0 {
		t.Errorf("got %q evacuated, want none", s.Centres())
	}
}

// A copy must not change with the set, which is updated while the copy is read.
func TestCloneIsIndependent(t *testing.T) {
	var s Set
	s.Apply(Change{"a", 1, true})
	c := s.Clone()
	s.Apply(Change{"a", 2, false})
	if !c.Contains("a") {
		t.Error("a change of the set changed its copy")
	}
}

// Whatever the order of listings and changes, also repeated and late ones, the set must equal the store's once it has seen a
// listing and all later changes, and must never go back to before its last listing.
func TestSetFollowsTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		var history []Change
		// present returns the requests as of a version.
		present := func(version uint64) []Request {
			last := map[string]Change{}
			for _, c := range history[:version] {
				last[c.Centre] = c
			}
			var list []Request
			for _, name := range names {
				if c := last[name]; c.Evacuated {
					list = append(list, Request{name, c.Version})
				}
			}
			return list
		}
		// states returns whether a centre was evacuated as of each version from one on.
		states := func(centre string, from uint64) []bool {
			var list []bool
			for version := from; version <= uint64(len(history)); version++ {
				list = append(list, slices.ContainsFunc(present(version), func(r Request) bool { return r.Centre == centre }))
			}
			return list
		}
		var s Set
		listed := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			n := uint64(len(history))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				history = append(history, Change{rapid.SampledFrom(names).Draw(t, "centre"), n + 1, rapid.Bool().Draw(t, "evacuated")})
			case 2:
				if n > 0 {
					s.Apply(history[rapid.Uint64Range(0, n-1).Draw(t, "change")])
				}
			case 3:
				version := rapid.Uint64Range(0, n).Draw(t, "version")
				s.Replace(present(version), version)
				listed = max(listed, version)
			}
			for _, name := range names {
				if !slices.Contains(states(name, listed), s.Contains(name)) {
					t.Fatalf("got %s evacuated: %v, which it has not been since the listing with version %d", name, s.Contains(name), listed)
				}
			}
		}
		from := rapid.Uint64Range(0, uint64(len(history))).Draw(t, "last listing")
		s.Replace(present(from), from)
		for _, c := range history[from:] {
			s.Apply(c)
		}
		var want []string
		for _, r := range present(uint64(len(history))) {
			want = append(want, r.Centre)
		}
		if got := s.Centres(); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}
