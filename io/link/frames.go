package link

import (
	"time"

	"wagtailhoist/core/config"
	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
)

// Kind identifies a frame type; it is the first byte of a frame on the wire.
type Kind uint8

// Kinds of frames. They stay below 24, so that each fits a CBOR integer of one byte.
const (
	KindHello Kind = 1 + iota
	KindPing
	KindAnnounce
	KindEntryList
	KindBegin
	KindData
	KindAccept
	KindRefuse
	KindAnswer
	KindFail
	KindFence
	KindFenced
	KindAttach
	KindDone
	KindConfig
	KindReport
	KindOrders
)

// Frame is a message on a link.
type Frame interface{ Kind() Kind }

// decoders maps each accepted kind to the decoder of its frame type; a frame of any other kind is
// malformed.
var decoders = map[Kind]func([]byte) (Frame, error){
	KindHello:     decodeAs[Hello],
	KindPing:      decodeAs[Ping],
	KindAnnounce:  decodeAs[Announce],
	KindEntryList: decodeAs[EntryList],
	KindBegin:     decodeAs[Begin],
	KindData:      decodeAs[Data],
	KindAccept:    decodeAs[Accepted],
	KindRefuse:    decodeAs[Refuse],
	KindAnswer:    decodeAs[Answer],
	KindFail:      decodeAs[Fail],
	KindFence:     decodeAs[Fence],
	KindFenced:    decodeAs[Fenced],
	KindAttach:    decodeAs[Attach],
	KindDone:      decodeAs[Done],
	KindConfig:    decodeAs[Config],
	KindReport:    decodeAs[Report],
	KindOrders:    decodeAs[Orders],
}

// Role is the kind of process at one end of a link.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Hello is the first frame in both directions.
type Hello struct {
	Node        model.NodeID      `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Role        Role              `cbor:"3,keyasint"`
	Region      model.Region      `cbor:"4,keyasint,omitempty"`
	Centre      model.Centre      `cbor:"5,keyasint,omitempty"`
	Protocol    int               `cbor:"6,keyasint"`
	// Address is the host:port of the sender's link listener.
	Address string `cbor:"7,keyasint,omitempty"`
}

// Ping is the heartbeat. Both ends send it, so no reply is needed.
type Ping struct{}

// Announce carries membership records of agents.
type Announce struct {
	Records []model.Record `cbor:"1,keyasint,omitempty"`
	// Lost lists agents of the sender's region that the sender no longer hears from; entries send it to other
	// regions.
	Lost []member.Loss `cbor:"2,keyasint,omitempty"`
	// Region is set if an entry relays what another region sent to it; empty means the sender's own region.
	Region model.Region `cbor:"3,keyasint,omitempty"`
}

// Entry identifies an entry and the address of its link listener.
type Entry struct {
	ID      model.NodeID `cbor:"1,keyasint"`
	Region  model.Region `cbor:"2,keyasint,omitempty"`
	Address string       `cbor:"3,keyasint"`
}

// EntryList carries the list of entries and the sender's configuration revision to an agent or another entry.
type EntryList struct {
	Entries  []Entry        `cbor:"1,keyasint"`
	Revision model.Revision `cbor:"2,keyasint"`
}

// Begin asks an agent to run an attempt of a request at most once.
type Begin struct {
	Attempt     model.Attempt       `cbor:"1,keyasint"`
	Incarnation model.Incarnation   `cbor:"2,keyasint"`
	Deadline    time.Time           `cbor:"3,keyasint"`
	Team        model.Team          `cbor:"4,keyasint,omitempty"`
	Key         string              `cbor:"5,keyasint,omitempty"`
	Method      string              `cbor:"6,keyasint"`
	Path        string              `cbor:"7,keyasint"`
	Host        string              `cbor:"8,keyasint,omitempty"`
	Header      map[string][]string `cbor:"9,keyasint,omitempty"`
	Length      int                 `cbor:"10,keyasint"`
	Sum         uint64              `cbor:"11,keyasint"`
	// Body is set for bodies of at most ChunkBytes; longer ones follow in Data frames.
	Body []byte `cbor:"12,keyasint,omitempty"`
}

// Data carries a part of the body of a request or an answer.
type Data struct {
	Attempt model.Attempt `cbor:"1,keyasint"`
	Offset  int           `cbor:"2,keyasint"`
	Bytes   []byte        `cbor:"3,keyasint"`
}

// Accepted reports that the agent reserved a slot for the attempt and runs it once its body is complete.
type Accepted struct {
	Attempt model.Attempt `cbor:"1,keyasint"`
	Load    model.Load    `cbor:"2,keyasint"`
}

// Refuse reports that the attempt did not run and that this process will never run it.
type Refuse struct {
	Attempt model.Attempt `cbor:"1,keyasint"`
	Reason  string        `cbor:"2,keyasint"`
	Load    model.Load    `cbor:"3,keyasint"`
	// Sequence is the sequence number of the last record that the agent announced before it refused.
	Sequence uint64 `cbor:"4,keyasint,omitempty"`
}

// Answer carries the minion's response to an attempt.
type Answer struct {
	Attempt model.Attempt       `cbor:"1,keyasint"`
	Status  int                 `cbor:"2,keyasint"`
	Header  map[string][]string `cbor:"3,keyasint,omitempty"`
	Length  int                 `cbor:"4,keyasint"`
	Sum     uint64              `cbor:"5,keyasint"`
	Load    model.Load          `cbor:"6,keyasint"`
	// Body is set for bodies of at most ChunkBytes; longer ones follow in Data frames.
	Body []byte `cbor:"7,keyasint,omitempty"`
}

// Fail reports that an accepted attempt ended without an answer.
type Fail struct {
	Attempt model.Attempt `cbor:"1,keyasint"`
	// Ran is false only if the minion cannot have received any part of the request.
	Ran    bool       `cbor:"2,keyasint"`
	Reason string     `cbor:"3,keyasint"`
	Load   model.Load `cbor:"4,keyasint"`
}

// Fence asks an agent for the state of an attempt and forbids the agent to start it from now on.
type Fence struct {
	Attempt     model.Attempt     `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Deadline    time.Time         `cbor:"3,keyasint"`
}

// Fenced is the reply to a Fence, and to an Attach if there is no answer to send.
type Fenced struct {
	Attempt model.Attempt `cbor:"1,keyasint"`
	State   uint8         `cbor:"2,keyasint"`
}

// Attach asks the agent to send the answer of an attempt from its start over this link.
type Attach struct {
	Attempt model.Attempt `cbor:"1,keyasint"`
}

// Done reports that the entry has received the complete answer, so that the agent can free its copy.
type Done struct {
	Attempt model.Attempt `cbor:"1,keyasint"`
}

// Config carries a message of the configuration exchange.
type Config struct {
	Message config.Message `cbor:"1,keyasint"`
	// Document is the compressed document of Message.Snapshot, whose own document field is left empty.
	Document []byte `cbor:"2,keyasint,omitempty"`
	// Drain asks the receiver to finish its work and stop. Entries send it on behalf of an operator.
	Drain bool `cbor:"3,keyasint,omitempty"`
}

// Kind returns KindHello.
func (Hello) Kind() Kind { return KindHello }

// Kind returns KindPing.
func (Ping) Kind() Kind { return KindPing }

// Kind returns KindAnnounce.
func (Announce) Kind() Kind { return KindAnnounce }

// Kind returns KindEntryList.
func (EntryList) Kind() Kind { return KindEntryList }

// Kind returns KindBegin.
func (Begin) Kind() Kind { return KindBegin }

// Kind returns KindData.
func (Data) Kind() Kind { return KindData }

// Kind returns KindAccept.
func (Accepted) Kind() Kind { return KindAccept }

// Kind returns KindRefuse.
func (Refuse) Kind() Kind { return KindRefuse }

// Kind returns KindAnswer.
func (Answer) Kind() Kind { return KindAnswer }

// Kind returns KindFail.
func (Fail) Kind() Kind { return KindFail }

// Kind returns KindFence.
func (Fence) Kind() Kind { return KindFence }

// Kind returns KindFenced.
func (Fenced) Kind() Kind { return KindFenced }

// Kind returns KindAttach.
func (Attach) Kind() Kind { return KindAttach }

// Kind returns KindDone.
func (Done) Kind() Kind { return KindDone }

// Kind returns KindConfig.
func (Config) Kind() Kind { return KindConfig }
