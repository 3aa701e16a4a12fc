package call

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// New returns a request with body as JSON; a nil body sends none. It fails only for a body
// or a URL that can't be encoded, which no service has seen.
func New(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var data io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrapf(err, "encode body of %s %s", method, url)
		}
		data = bytes.NewReader(encoded)
	}
	return http.NewRequestWithContext(ctx, method, url, data)
}

// Unsent reports whether an error says that no connection was made, so that no service has seen the request.
func Unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Do sends a request and returns the status and at most limit bytes of the body. After an
// error the service may or may not have carried the call out. A nil client means http.DefaultClient.
func Do(client *http.Client, req *http.Request, limit int64) (status int, body []byte, err error) {
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, body, nil
}
