// Package mirror keeps a copy of a part of the store current by a list and watches.
package mirror
