// Package fault injects faults into a test double: a list of faults, changed over HTTP, says which calls fail and how.
package fault
