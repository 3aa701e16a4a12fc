// Package retry decides what an entry may do about a request after each attempt, and what it may tell the caller.
package retry
