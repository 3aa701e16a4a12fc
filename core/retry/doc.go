// Package retry decides, from the results of a request's attempts, whether an entry may send another attempt and which
// outcome it reports to the caller.
package retry
