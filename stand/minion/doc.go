// Package minion is a test double of an HTTP back end with a limited number of slots and connections.
package minion
