// Package meter records counters, durations and gauges of a process and serves them in Prometheus format.
package meter
