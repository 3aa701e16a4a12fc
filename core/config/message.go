package config

import (
	"time"

	"wagtailhoist/core/model"
)

// Stamp is a time on the clock of one life of a process, counted from its start. The peer
// echoes it, so that the process can tell what was said after it asked, without common clocks.
type Stamp struct {
	Life model.Incarnation `cbor:"1,keyasint,omitempty"`
	At   time.Duration     `cbor:"2,keyasint,omitempty"`
}

// Message travels between two linked processes.
type Message struct {
	// Held is the sender's highest revision, Force the one that it uses.
	Held  model.Revision `cbor:"1,keyasint"`
	Force model.Revision `cbor:"2,keyasint"`
	// Fault says why the sender can't read a higher revision that has to be in force.
	Fault string `cbor:"13,keyasint,omitempty"`
	// Known is the highest revision that the sender knows to be in the store.
	Known model.Revision `cbor:"3,keyasint"`
	// Age is the time since the store last gave Known as its latest revision; negative if
	// it has not done so in the sender's life.
	Age time.Duration `cbor:"4,keyasint"`
	// Ready says that the sender has a revision in force.
	Ready bool `cbor:"5,keyasint,omitempty"`
	// Confirmed says that the sender reports its revision in force as confirmed.
	Confirmed bool `cbor:"6,keyasint,omitempty"`
	// Watch is the region whose watch of the store the sender holds, empty for none.
	Watch model.Region `cbor:"7,keyasint,omitempty"`
	// State is the drain state of the sender.
	State model.State `cbor:"12,keyasint,omitempty"`
	// Want asks for the document of Held of the receiver.
	Want bool `cbor:"8,keyasint,omitempty"`
	// Sent is the sender's time, Echo the last Sent that it had of the receiver.
	Sent Stamp `cbor:"9,keyasint"`
	Echo Stamp `cbor:"10,keyasint"`
	// Copy is set in the answer to Want.
	Copy *Copy `cbor:"11,keyasint,omitempty"`
}

// Effect is something that the process has to do.
type Effect interface{ effect() }

// Send asks for a message to be sent to a peer; a message that is lost is repeated by later ticks.
type Send struct {
	To      model.NodeID
	Message Message
	// Repeat says that the message tells the peer nothing new; it may be left out for some seconds.
	Repeat bool
}

// Activate says that the revision is in force from now on.
type Activate struct{ Copy Copy }

// Unread says that the revision has to be in force but can't be read.
type Unread struct {
	Revision model.Revision
	Cause    error
}

// Refresh asks for the store to be read, because a peer waits for a confirmation.
type Refresh struct{}

func (Send) effect()     {}
func (Activate) effect() {}
func (Unread) effect()   {}
func (Refresh) effect()  {}
