package proxy

import (
	"bufio"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/io/store"
)

// Op is the kind of a call of the store.
type Op string

// Kinds of calls of the store.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpWatch  Op = "watch"
	OpCommit Op = "commit"
	OpGrant  Op = "grant"
	OpRenew  Op = "renew"
	OpRevoke Op = "revoke"
)

// Request is a call of the store that is forwarded to another process.
type Request struct {
	Op Op `cbor:"1,keyasint"`
	// Key is the key of a get, or the prefix of a list or watch.
	Key    string        `cbor:"2,keyasint,omitempty"`
	After  uint64        `cbor:"3,keyasint,omitempty"`
	Wait   time.Duration `cbor:"4,keyasint,omitempty"`
	Change store.Change  `cbor:"5,keyasint,omitzero"`
	Lease  uint64        `cbor:"6,keyasint,omitempty"`
	TTL    time.Duration `cbor:"7,keyasint,omitempty"`
}

// isRead reports whether the request has no effect.
func (q *Request) isRead() bool { return q.Op == OpGet || q.Op == OpList || q.Op == OpWatch }

// checkBytes, setBytes and deleteBytes are the memory of an element of a change beside its text.
const checkBytes, setBytes, deleteBytes = 24, 48, 16

// size returns about the memory that the request takes.
func (q *Request) size() int64 {
	c := &q.Change
	n := len(q.Key) + cap(c.Checks)*checkBytes + cap(c.Sets)*setBytes + cap(c.Deletes)*deleteBytes
	for i := range c.Checks {
		n += len(c.Checks[i].Key)
	}
	for i := range c.Sets {
		n += len(c.Sets[i].Key) + len(c.Sets[i].Value)
	}
	for _, key := range c.Deletes {
		n += len(key)
	}
	return int64(n)
}

// ErrorKind is the type of the error of a call, or empty for success.
type ErrorKind string

// Types of errors. With errorNotAttempted, the peer has made no call.
const (
	errorNone         ErrorKind = ""
	errorNotFound     ErrorKind = "missing"
	errorCheck        ErrorKind = "check"
	errorLease        ErrorKind = "lease"
	errorHistory      ErrorKind = "history"
	errorRefused      ErrorKind = "refused"
	errorUnavailable  ErrorKind = "unknown"
	errorNotAttempted ErrorKind = "idle"
)

// Reply is the outcome of a forwarded call.
type Reply struct {
	Items []store.Item `cbor:"1,keyasint,omitempty"`
	// Number is the revision of a list, watch or commit, or the lease of a grant.
	Number uint64    `cbor:"2,keyasint,omitempty"`
	Kind   ErrorKind `cbor:"3,keyasint,omitempty"`
	// Status is the HTTP status of a refusal, Detail the text of any error.
	Status int    `cbor:"4,keyasint,omitempty"`
	Detail string `cbor:"5,keyasint,omitempty"`
}

// newReply returns the reply for the outcome of a call.
func newReply(items []store.Item, number uint64, err error) Reply {
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
		r.Kind = errorNotFound
	case errors.As(err, &check):
		r.Kind, r.Items = errorCheck, check.Items
	case errors.As(err, &lease):
		r.Kind = errorLease
	case errors.As(err, &history):
		r.Kind = errorHistory
	case store.HadNoEffect(err) && errors.As(err, &refused):
		r.Kind, r.Status = errorRefused, refused.Status
	default:
		r.Kind = errorUnavailable
	}
	return r
}

// writeTo writes the encoded reply item by item, so that it isn't in memory a second time.
func (r *Reply) writeTo(w io.Writer) error {
	buffered := bufio.NewWriterSize(w, replyBuffer)
	enc := cbor.NewEncoder(buffered)
	rest := *r
	rest.Items = nil
	fields, err := cbor.Marshal(rest)
	if err != nil {
		return err
	}
	if len(r.Items) == 0 {
		_, err = w.Write(fields)
		return err
	}
	// The fields other than the items are a map of less than 24 pairs, whose first byte has their number. The items are one more.
	if err := buffered.WriteByte(fields[0] + 1); err != nil {
		return err
	}
	if err := enc.Encode(itemsKey); err != nil {
		return err
	}
	if err := enc.StartIndefiniteArray(); err != nil {
		return err
	}
	for i := range r.Items {
		if err := enc.Encode(&r.Items[i]); err != nil {
			return err
		}
	}
	if err := enc.EndIndefinite(); err != nil {
		return err
	}
	if _, err := buffered.Write(fields[1:]); err != nil {
		return err
	}
	return buffered.Flush()
}

// itemsKey is the key of Reply.Items on the wire, and replyBuffer the size of the buffer for small items.
const itemsKey, replyBuffer = 1, 4 << 10

// err returns the error that the peer's call of the store ended with.
func (r *Reply) err(q *Request) error {
	switch r.Kind {
	case errorNone:
		return nil
	case errorNotFound:
		return &store.NotFoundError{Key: q.Key}
	case errorCheck:
		return &store.CheckError{Items: r.Items}
	case errorLease:
		return &store.LeaseError{Lease: q.Lease}
	case errorHistory:
		return &store.HistoryError{Prefix: q.Key, After: q.After}
	case errorRefused, errorNotAttempted:
		return &store.RefusedError{Op: string(q.Op), Status: r.Status, Cause: errors.Newf("forwarded to another process: %s", r.Detail)}
	}
	return &store.UnavailableError{Op: string(q.Op), Cause: errors.Newf("forwarded to another process: %s", r.Detail)}
}

// answeredByStore reports whether err, which may be nil, is the store's own answer. Otherwise the call was refused or has
// an unknown outcome, and another attempt may get an answer.
func answeredByStore(err error) bool {
	var refused *store.RefusedError
	var unknown *store.UnavailableError
	return store.RefusedForGood(err) || !errors.As(err, &refused) && !errors.As(err, &unknown)
}
