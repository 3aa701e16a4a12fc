package evac

import (
	"maps"
	"slices"
)

// Request is an operator's request to evacuate a data centre.
type Request struct {
	Centre string
	// Version is the store's version of the request.
	Version uint64
}

// Change is the creation or the withdrawal of a request.
type Change struct {
	Centre string
	// Version is the store's version of the change, or a later one that is earlier than that of the centre's next change.
	Version uint64
	// Evacuated is false if the request was withdrawn.
	Evacuated bool
}

// state is what is known of a centre, as of a version.
type state struct {
	version   uint64
	evacuated bool
}

// Set holds the evacuated data centres. In the zero value, none is evacuated.
type Set struct {
	// listed is the version of the last listing. Older changes are contained in it.
	listed uint64
	// known holds the centres with a request or a change since the last listing.
	known map[string]state
}

// Replace applies a full listing, which holds all requests as of a version. What is known as of a later version is kept, since
// the answer of the store may be late.
func (s *Set) Replace(list []Request, version uint64) {
	if version < s.listed {
		return
	}
	s.listed = version
	maps.DeleteFunc(s.known, func(_ string, known state) bool { return known.version <= version })
	for _, r := range list {
		// A request may be newer than the listing, which the store returns in parts.
		s.set(r.Centre, state{r.Version, true})
	}
}

// Apply applies a change. One that is older than what is known of its centre is ignored.
func (s *Set) Apply(c Change) {
	if c.Version > s.listed {
		s.set(c.Centre, state{c.Version, c.Evacuated})
	}
}

// set replaces the state of a centre unless a later one is known. A centre without a name doesn't exist.
func (s *Set) set(centre string, next state) {
	if centre == "" || next.version < s.known[centre].version {
		return
	}
	if s.known == nil {
		s.known = map[string]state{}
	}
	s.known[centre] = next
}

// Contains reports whether a data centre is evacuated.
func (s *Set) Contains(centre string) bool { return s.known[centre].evacuated }

// Centres returns the evacuated data centres in alphabetical order.
func (s *Set) Centres() []string {
	var centres []string
	for centre, known := range s.known {
		if known.evacuated {
			centres = append(centres, centre)
		}
	}
	slices.Sort(centres)
	return centres
}

// Clone returns a copy that later changes of s don't affect.
func (s *Set) Clone() Set { return Set{s.listed, maps.Clone(s.known)} }
