// Package serve opens listeners, prints their addresses and runs HTTP servers until the process is told to stop.
package serve
