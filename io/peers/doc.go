// Package peers links an entry with agents and other entries and exchanges membership with them.
package peers
