// Package admin implements the HTTP API of an entry for operators, and its client.
//
//	GET  /status   the processes with revision, confirmation and drain state, and the percentiles of the timings;
//	               with ?cells also the cells
//	GET  /config   the configuration in force
//	POST /config   {base, change, author, document}: writes a configuration
//	POST /query    {text, author, change}: answers a query or carries out a change
//	GET  /metrics  the process's metrics in Prometheus format
//
// Each request has the header "Authorization: Bearer TOKEN". Every answer that is not a success has a Failure as its body.
package admin
