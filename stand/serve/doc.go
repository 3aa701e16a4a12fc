// Package serve opens listeners, prints their addresses and runs HTTP servers until the process receives a stop signal.
package serve
