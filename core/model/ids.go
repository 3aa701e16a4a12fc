package model

import (
	"fmt"
	"time"
)

// Team is the name of a team, a customer of the system.
type Team string

// Region is the name of a region, a group of data centres with fast links between them.
type Region string

// Centre is the name of a data centre.
type Centre string

// NodeID identifies a process of the system, or the minion of an agent.
type NodeID string

// WorkerID identifies a worker of the platform.
type WorkerID string

// JobID identifies a job; it is unique across all teams.
type JobID string

// CellID identifies a cell, a group of workers that one process schedules, the owner of the cell.
type CellID string

// Incarnation identifies one start of a process; a later start has a higher number.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts at now.
// It is the time in nanoseconds since the Unix epoch, which grows across restarts without stored state.
func NewIncarnation(now time.Time) Incarnation {
	return Incarnation(now.UnixNano())
}

// Attempt identifies one dispatch of a request to an agent: the incarnation of the entry that sent it, and a number that
// the entry gave it.
type Attempt struct {
	Entry    Incarnation `cbor:"1,keyasint" json:"entry"`
	Sequence uint64      `cbor:"2,keyasint" json:"sequence"`
}

// String formats the attempt for logs and answers.
func (a Attempt) String() string {
	return fmt.Sprintf("%x-%d", uint64(a.Entry), a.Sequence)
}

// Revision is the number of an accepted configuration; a later one has a higher number.
type Revision uint64

// Epoch is the number of an owner's term of leadership over a cell; it grows at each change of owner.
type Epoch uint64
