package model

// State says whether a node accepts work, as the node announces it.
type State uint8

// States of a node.
const (
	// Ready nodes accept new work.
	Ready State = iota
	// Draining nodes finish accepted work and refuse new work until they stop.
	Draining
	// Stopped nodes no longer run.
	Stopped
	// Down nodes are agents whose minion accepts no connections; they refuse new work until it does.
	Down
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Stopped:
		return "gone"
	case Down:
		return "down"
	}
	return "unknown"
}

// Load is the number of used and of available request slots of a minion, as its agent reports it.
type Load struct {
	// Running is the number of requests that hold a slot.
	Running int `cbor:"1,keyasint" json:"running"`
	// Slots is the number of requests that the minion serves at the same time.
	Slots int `cbor:"2,keyasint" json:"slots"`
}

// Record is the announcement of an agent about its minion; only that agent writes it.
type Record struct {
	ID          NodeID      `cbor:"1,keyasint" json:"id"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
	Sequence    uint64      `cbor:"3,keyasint" json:"sequence"`
	Region      Region      `cbor:"4,keyasint" json:"region"`
	Centre      Centre      `cbor:"5,keyasint" json:"centre"`
	// Address is the host:port of the agent's link listener.
	Address  string   `cbor:"6,keyasint" json:"address"`
	Service  string   `cbor:"7,keyasint" json:"service"`
	State    State    `cbor:"8,keyasint" json:"state"`
	Load     Load     `cbor:"9,keyasint" json:"load"`
	Revision Revision `cbor:"10,keyasint" json:"revision"`
}

// Newer reports whether r replaces old: it has a higher incarnation, or the same incarnation and a higher sequence.
func (r Record) Newer(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Sequence > old.Sequence
}
