// Package link connects processes of the system by WebSocket links that carry CBOR frames and heartbeats.
package link
