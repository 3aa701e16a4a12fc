package config

import (
	"encoding/json"
	"fmt"
	"strings"

	"wagtailhoist/core/model"
)

// Key is the key of the configuration in the store.
const Key = "config"

// maxPastChanges limits the earlier changes that a record lists. A writer that got no answer looks its change up there,
// even if others have written since.
const maxPastChanges = 64

// Snapshot is a revision with its document.
type Snapshot struct {
	Revision model.Revision `cbor:"1,keyasint" json:"revision"`
	// Change identifies the change across retries of its writer.
	Change string `cbor:"2,keyasint,omitempty" json:"change"`
	Author string `cbor:"3,keyasint,omitempty" json:"author"`
	// Document is the declaration in YAML.
	Document string `cbor:"4,keyasint,omitempty" json:"document"`
	// GuaranteeCells holds the cell of each guarantee of the document, keyed by team/guarantee.
	GuaranteeCells map[string]model.CellID `cbor:"5,keyasint,omitempty" json:"homes,omitempty"`
}

// Past identifies an earlier change.
type Past struct {
	Revision model.Revision `json:"revision"`
	Change   string         `json:"change"`
	Author   string         `json:"author"`
}

// Record is the value of Key in the store. The zero value stands for a store without the key.
type Record struct {
	Snapshot
	// Past lists the changes before this one, latest first.
	Past []Past `json:"past,omitempty"`
}

// Decode decodes a record.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("decoding the configuration record: %w", err)
	}
	return r, nil
}

// Encode returns the stored form of the record.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Find returns the revision that the change created; the second result is false if the record does not list the change.
func (r Record) Find(change string) (model.Revision, bool) {
	if r.Revision > 0 && r.Change == change {
		return r.Revision, true
	}
	for _, p := range r.Past {
		if p.Change == change {
			return p.Revision, true
		}
	}
	return 0, false
}

// ConflictError reports that a change was made for a revision that is no longer the latest.
type ConflictError struct {
	// Base is the revision that the change was made for, Have the latest one.
	Base, Have model.Revision
	// Author wrote the latest revision, with the change identifier Change.
	Author, Change string
}

// Error describes both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the change was made for revision %d, but the latest is revision %d by %s (change %s)",
		e.Base, e.Have, e.Author, e.Change)
}

// Write is a change requested by an operator.
type Write struct {
	// Base is the revision that the change was made for.
	Base           model.Revision
	Change, Author string
	Document       string
	// GuaranteeCells computes the cells of the guarantees of Document from those of the latest revision. If nil, these are kept.
	GuaranteeCells func(former map[string]model.CellID) (map[string]model.CellID, error)
}

// Next returns the record that follows latest with the change applied. It returns a ConflictError if Base is not the
// latest revision, and the error of GuaranteeCells if that fails.
func (w Write) Next(latest Record) (Record, error) {
	if latest.Revision != w.Base {
		return Record{}, w.Conflict(latest)
	}
	next := Record{Snapshot: Snapshot{
		Revision: latest.Revision + 1, Change: w.Change, Author: w.Author, Document: strings.ToValidUTF8(w.Document, "?"),
		GuaranteeCells: latest.GuaranteeCells,
	}}
	if w.GuaranteeCells != nil {
		homes, err := w.GuaranteeCells(latest.GuaranteeCells)
		if err != nil {
			return Record{}, err
		}
		next.GuaranteeCells = homes
	}
	if latest.Revision > 0 {
		next.Past = append(next.Past, Past{latest.Revision, latest.Change, latest.Author})
	}
	next.Past = append(next.Past, latest.Past...)
	next.Past = next.Past[:min(len(next.Past), maxPastChanges)]
	return next, nil
}

// Conflict returns a ConflictError for the change against the latest record.
func (w Write) Conflict(latest Record) error {
	return &ConflictError{Base: w.Base, Have: latest.Revision, Author: latest.Author, Change: latest.Change}
}
