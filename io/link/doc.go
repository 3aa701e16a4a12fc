// Package link connects the system's own processes by WebSocket links that carry CBOR frames and heartbeats.
package link
