// Package front takes callers' requests over HTTP, dispatches them to agents and answers with a checked outcome.
package front
