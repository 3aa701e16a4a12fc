// Package conf distributes configuration revisions: it watches the store, exchanges revisions with linked processes
// (gossip), writes the changes of operators, and notifies the process of each revision that comes into force.
package conf
