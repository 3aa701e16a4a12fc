// Package echo defines the requests that the caller sends and the answers that the minion gives, so that a
// caller can tell whether an answer is whole and its own.
package echo
