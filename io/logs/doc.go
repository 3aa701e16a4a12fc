// Package logs writes structured logs as JSON lines with a bounded length, and at a bounded rate.
package logs
