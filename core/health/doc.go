// Package health decides by the answers and failures of a process's own calls of the store whether further calls are sent to it
// directly: calls of any kind after a failure, and changes after a silence.
package health
