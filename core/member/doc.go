// Package member keeps the records of the agents that one entry knows and decides which of them are candidates.
package member
