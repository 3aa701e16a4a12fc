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
	// Time is the requested service time, as a Go duration.
	Time = "Stand-Time"
	// Size is the requested length of the answer's body, in bytes; the first line is never truncated.
	Size = "Stand-Size"
	// Status is the requested status code of the answer.
	Status = "Stand-Status"
	// Node names the minion that answered.
	Node = "Stand-Node"
)

// Request holds the parts of a request on which its answer depends.
type Request struct {
	Method, Path, ID, Key string
	Body                  []byte
}

// Answer returns the body of the answer to r: a line with the fields of r and a checksum of its body, then text derived from it.
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
