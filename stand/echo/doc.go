// Package echo defines the requests that the caller sends and the answers of the minion. An answer depends on its request, so
// that the caller can verify that it is complete and belongs to the request.
package echo
