// Package logs writes structured logs as JSON lines whose fields have bounded lengths.
package logs
