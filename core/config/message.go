package config

import (
	"time"

	"wagtailhoist/core/model"
)

// Stamp is a time on the clock of one incarnation of a process, counted from its start. The peer echoes it, so that the
// process can tell which messages were written after its own, without synchronized clocks.
type Stamp struct {
	Incarnation model.Incarnation `cbor:"1,keyasint,omitempty"`
	At          time.Duration     `cbor:"2,keyasint,omitempty"`
}

// Message is exchanged between two linked processes.
type Message struct {
	// Highest is the highest revision that the sender has, InUse the one that it uses.
	Highest model.Revision `cbor:"1,keyasint"`
	InUse   model.Revision `cbor:"2,keyasint"`
	// Fault says why the sender can't read a higher revision that should be in force; empty if there is none.
	Fault string `cbor:"13,keyasint,omitempty"`
	// StoreRevision is the highest revision that the sender knows to be in the store.
	StoreRevision model.Revision `cbor:"3,keyasint"`
	// Age is the time since the store last reported StoreRevision as its latest revision; negative if it has not done so since
	// the sender started.
	Age time.Duration `cbor:"4,keyasint"`
	// Ready means that the sender has a revision in force.
	Ready bool `cbor:"5,keyasint,omitempty"`
	// Confirmed means that the store is known to contain the sender's revision in force.
	Confirmed bool `cbor:"6,keyasint,omitempty"`
	// Watch is the region for which the sender watches the store, empty for none.
	Watch model.Region `cbor:"7,keyasint,omitempty"`
	// State is the drain state of the sender.
	State model.State `cbor:"12,keyasint,omitempty"`
	// WantDocument requests the receiver's highest revision with its document.
	WantDocument bool `cbor:"8,keyasint,omitempty"`
	// Sent is the sender's time, Echo the latest Sent that it has received from the receiver.
	Sent Stamp `cbor:"9,keyasint"`
	Echo Stamp `cbor:"10,keyasint"`
	// Snapshot is the revision sent in response to WantDocument.
	Snapshot *Snapshot `cbor:"11,keyasint,omitempty"`
}

// Effect is an action for the process to carry out.
type Effect interface{ effect() }

// Send sends a message to a peer. A lost message needs no retry, because later ticks send its content again.
type Send struct {
	To      model.NodeID
	Message Message
	// Repeat means that the message has no new information for the peer; it may be skipped for some seconds.
	Repeat bool
}

// Activate puts a revision in force.
type Activate struct{ Snapshot Snapshot }

// Unreadable reports a revision that should be in force but can't be read.
type Unreadable struct {
	Revision model.Revision
	Cause    error
}

// ReadStore reads the store again, because a new peer waits for its confirmation.
type ReadStore struct{}

func (Send) effect()       {}
func (Activate) effect()   {}
func (Unreadable) effect() {}
func (ReadStore) effect()  {}
