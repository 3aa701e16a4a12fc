// Package check finds contradictions in a desired state before it is sent, and lists what differs from the state in force.
//
// The caller translates its file to a State, in which each value has its place. Find adds the contradictions to Findings, which also
// take the caller's own, about syntax for example; Findings.Report sorts and bounds them. Diff compares two states and names the callers
// whom a change refuses. docs/design/check.md says what is an error and what a warning.
package check
