package intake

import (
	"io"
	"net/http"
)

// bufferedBytes is the number of bytes of a request that net/http may have read ahead.
const bufferedBytes = 4 << 10

// DropBody must be called before the answer to a request whose body isn't read to its end. It keeps net/http from waiting for the
// rest: the connection is closed after the answer, unless the whole body has arrived with the header.
func DropBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(longAgo)
	// A read of a body whose caller waits for "100 Continue" would send that.
	if r.Header.Get("Expect") == "" && r.ContentLength <= bufferedBytes {
		if _, err := io.CopyN(io.Discard, r.Body, bufferedBytes+1); err == io.EOF {
			return
		}
	}
	w.Header().Set("Connection", "close")
}
