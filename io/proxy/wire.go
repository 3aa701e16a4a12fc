package proxy

import (
	"time"

	"github.com/cockroachdb/errors"

	"wagtailhoist/io/store"
)

// Op names a call of the store.
type Op string

// Calls of the store.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpWatch  Op = "watch"
	OpCommit Op = "commit"
	OpGrant  Op = "grant"
	OpRenew  Op = "renew"
	OpRevoke Op = "revoke"
)

// Request is a call of the store that another process is asked to make.
type Request struct {
	Op Op `cbor:"1,keyasint"`
	// Key is the key of a get, the prefix of a list or watch.
	Key    string        `cbor:"2,keyasint,omitempty"`
	After  uint64        `cbor:"3,keyasint,omitempty"`
	Wait   time.Duration `cbor:"4,keyasint,omitempty"`
	Change store.Change  `cbor:"5,keyasint,omitzero"`
	Lease  uint64        `cbor:"6,keyasint,omitempty"`
	TTL    time.Duration `cbor:"7,keyasint,omitempty"`
}

// ErrorKind says which error a call ended with.
type ErrorKind string

// Faults; the empty one is success.
const (
	faultNone     ErrorKind = ""
	faultMissing  ErrorKind = "missing"
	faultCheck    ErrorKind = "check"
	faultLease    ErrorKind = "lease"
	faultHistory  ErrorKind = "history"
	faultRefused  ErrorKind = "refused"
	faultUnknown  ErrorKind = "unknown"
	faultNotAsked ErrorKind = "idle"
)

// Reply is the outcome of a call.
type Reply struct {
	Items []store.Item `cbor:"1,keyasint,omitempty"`
	// Number is the revision of a list, watch or commit, or the lease of a grant.
	Number uint64    `cbor:"2,keyasint,omitempty"`
	Fault  ErrorKind `cbor:"3,keyasint,omitempty"`
	Status int       `cbor:"4,keyasint,omitempty"`
	Detail string    `cbor:"5,keyasint,omitempty"`
}

// replyOf returns the wire form of a call's outcome.
func replyOf(items []store.Item, number uint64, err error) Reply {
	r := Reply{Items: items, Number: number}
	if err == nil {
		return r
	}
	r.Detail = err.Error()
	var missing *store.NotFoundError
	var check *store.CheckError
	var lease *store.LeaseError
	var history *store.HistoryError
	var refused *store.RefusedError
	switch {
	case errors.As(err, &missing):
		r.Fault = faultMissing
	case errors.As(err, &check):
		r.Fault, r.Items = faultCheck, check.Items
	case errors.As(err, &lease):
		r.Fault = faultLease
	case errors.As(err, &history):
		r.Fault = faultHistory
	case store.NotDone(err) && errors.As(err, &refused):
		r.Fault, r.Status = faultRefused, refused.Status
	default:
		r.Fault = faultUnknown
	}
	return r
}

// err returns the error that a reply stands for.
func (r *Reply) err(q *Request) error {
	switch r.Fault {
	case faultNone:
		return nil
	case faultMissing:
		return &store.NotFoundError{Key: q.Key}
	case faultCheck:
		return &store.CheckError{Items: r.Items}
	case faultLease:
		return &store.LeaseError{Lease: q.Lease}
	case faultHistory:
		return &store.HistoryError{Prefix: q.Key, After: q.After}
	case faultRefused, faultNotAsked:
		return &store.RefusedError{Op: string(q.Op), Status: r.Status, Cause: errors.Newf("by way of another process: %s", r.Detail)}
	}
	return &store.UnavailableError{Op: string(q.Op), Cause: errors.Newf("by way of another process: %s", r.Detail)}
}

// settled reports whether an outcome is the store's own word, which no other way would change.
func settled(err error) bool {
	var refused *store.RefusedError
	var unknown *store.UnavailableError
	return !errors.As(err, &refused) && !errors.As(err, &unknown)
}
