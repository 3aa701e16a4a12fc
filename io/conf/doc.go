// Package conf distributes configuration revisions: it watches the store, exchanges revisions with
// linked processes, writes operators' changes, and tells the process which revision is in force.
package conf
