// Package check finds contradictions in a desired state before it is sent, and lists what differs from the state in force.
package check
