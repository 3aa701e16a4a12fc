// Package peers links an entry to agents and other entries and exchanges membership records with them.
package peers
