// Package fault makes a stand-in fail on request: it is told over HTTP which calls to fail and how.
package fault
