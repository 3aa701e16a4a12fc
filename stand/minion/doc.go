// Package minion stands in for an HTTP back end with a limited number of slots and connections.
package minion
