// Package pace decides when the owner's loop plans and commits, so that it keeps time for reports on a slow VM and isn't held
// up by a slow store.
package pace
