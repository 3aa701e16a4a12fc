// Package admin serves the operators' HTTP API of an entry, and is its client.
//
//	GET  /status   processes with revision, confirmation and drain state; percentiles
//	GET  /config   the configuration in force
//	POST /config   {base, change, author, document}: writes a configuration
//	POST /query    {text, author}: answers a query or carries out a change
//	GET  /metrics  the process's metrics in Prometheus format
//
// Each request carries "Authorization: Bearer TOKEN".
package admin
