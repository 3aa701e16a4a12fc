package schema

import (
	"encoding/json"

	"wagtailhoist/core/check"
)

// Object gives the places and the undecoded values of the members of an object. Its node may be nil: a member that is absent has the
// place of the object, and those of an absent object have the place of its parent.
type Object struct {
	Place check.Place

	doc  *Document
	node *Node
}

// Object returns the object at a node, which is nil if it is absent.
func (d *Document) Object(n *Node, path string, parent check.Place) Object {
	o := Object{parent, d, n}
	o.Place.Path = path
	if n != nil {
		o.Place = d.place(n.offset, path)
	}
	return o
}

// Get returns the value of a member, or nil if it is absent.
func (o *Object) Get(name string) *Node { return o.node.Get(name) }

// PlaceOf returns the place of a member.
func (o *Object) PlaceOf(name string) check.Place {
	member := o.doc.Object(o.Get(name), Join(o.Place.Path, name), o.Place)
	return member.Place
}

// Integer returns a member that the caller doesn't decode; 0 if it is absent or of another type.
func (o *Object) Integer(name string) check.Field[int64] {
	f := check.Field[int64]{Place: o.PlaceOf(name)}
	if n := o.Get(name); n != nil && json.Unmarshal(o.doc.Text(n), &f.Value) != nil {
		f.Value = 0
	}
	return f
}

// Text returns the JSON text of a member without spaces, or "unset".
func (o *Object) Text(name string) string {
	n := o.Get(name)
	if n == nil {
		return "unset"
	}
	return o.doc.Compact(n)
}

// Field returns the decoded value of a member with its place.
func Field[T any](o *Object, name string, value T) check.Field[T] {
	return check.Field[T]{Value: value, Place: o.PlaceOf(name)}
}
