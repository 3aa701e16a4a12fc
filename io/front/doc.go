// Package front is the entry's HTTP server for callers: it dispatches their requests to agents and answers each with the
// agent's response or with an explicit outcome.
package front
