// Package meter counts and times the work of a process and serves the figures in Prometheus format.
package meter
