// Package relay is a TCP relay that can delay, rate-limit, hold back, close or silence the connections through it.
package relay
