package intake

import (
	"net"
	"net/http"
)

// Address returns the address of the client of a request without its port, as the holder of memory where there is no team.
func Address(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
