package model

import (
	"fmt"
	"time"
)

// Team names a team (a customer of the system).
type Team string

// Region names a region, a group of data centres with fast links between them.
type Region string

// Centre names a data centre.
type Centre string

// NodeID names a process of the system, or the minion beside an agent.
type NodeID string

// WorkerID names a worker of the platform.
type WorkerID string

// JobID names a job; it is unique across all teams.
type JobID string

// CellID names a cell, a group of workers with one owner.
type CellID string

// Incarnation numbers the starts of a process; a later start has a higher number.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts at now.
// Nanoseconds since the Unix epoch grow across restarts without stored state.
func NewIncarnation(now time.Time) Incarnation {
	return Incarnation(now.UnixNano())
}

// Attempt identifies one dispatch of a request to an agent.
type Attempt struct {
	Entry    Incarnation `cbor:"1,keyasint" json:"entry"`
	Sequence uint64      `cbor:"2,keyasint" json:"sequence"`
}

// String formats the attempt for logs and answers.
func (a Attempt) String() string {
	return fmt.Sprintf("%x-%d", uint64(a.Entry), a.Sequence)
}

// Revision numbers accepted configurations; it only grows.
type Revision uint64

// Epoch numbers the owners of a cell; it grows at each change of owner.
type Epoch uint64
