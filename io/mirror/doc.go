// Package mirror keeps a copy of a part of the store: it lists the items below a prefix once and then watches them for
// changes.
package mirror
