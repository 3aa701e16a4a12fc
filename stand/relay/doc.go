// Package relay is a TCP relay that can delay, limit, hold, drop and silence the connections through it.
package relay
