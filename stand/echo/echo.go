package echo

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Headers of requests and answers.
const (
	// ID identifies one request of a caller.
	ID = "Stand-Id"
	// Key is the idempotency key of the request, if it has one.
	Key = "Idempotency-Key"
	// Time is the wanted service time, as a Go duration.
	Time = "Stand-Time"
	// Size is the wanted length of the answer's body, in bytes; the first line is never cut.
	Size = "Stand-Size"
	// Status is the wanted status of the answer.
	Status = "Stand-Status"
	// Node names the minion that answered.
	Node = "Stand-Node"
)

// Request is what an answer repeats.
type Request struct {
	Method, Path, ID, Key string
	Body                  []byte
}

// Answer returns the body of the answer to r: a line that names the request, then text that depends on it.
func Answer(r Request, size int) []byte {
	line := fmt.Sprintf("%s %s id=%s key=%s sum=%016x\n", r.Method, r.Path, r.ID, r.Key, xxhash.Sum64(r.Body))
	var out bytes.Buffer
	out.WriteString(line)
	seed := xxhash.Sum64String(line)
	for n := 0; out.Len() < size; n++ {
		fmt.Fprintf(&out, "%016x", seed+uint64(n)*0x9e3779b97f4a7c15)
	}
	if size > len(line) {
		out.Truncate(size)
	}
	return out.Bytes()
}
