package call

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// NewRequest returns a request with body encoded as JSON, or without a body if body is nil. It fails only if the body can't be
// encoded or the URL can't be parsed; the service has then received nothing.
func NewRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrapf(err, "encode the body of %s %s as JSON", method, url)
		}
		reader = bytes.NewReader(encoded)
	}
	return http.NewRequestWithContext(ctx, method, url, reader)
}

// SendBefore makes the request fail if its body has not been written before the time at. The client may write it long after Do
// was called, for example because it had to open a connection or because the machine is busy. The service receives at most the
// header then, and an HTTP server doesn't execute an incomplete request.
func SendBefore(req *http.Request, at time.Time) {
	getBody := req.GetBody
	req.Body = timedBody{req.Body, at}
	req.GetBody = func() (io.ReadCloser, error) {
		body, err := getBody()
		return timedBody{body, at}, err
	}
}

// timedBody is a body that can't be read from a time on.
type timedBody struct {
	io.ReadCloser
	before time.Time
}

func (b timedBody) Read(p []byte) (int, error) {
	if !time.Now().Before(b.before) {
		return 0, errors.Newf("not sent before %s", b.before.Format(time.RFC3339Nano))
	}
	return b.ReadCloser.Read(p)
}

// NotSent reports whether err means that no connection was made, so that the service has certainly not received the request.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Do sends a request and returns the status and at most limit bytes of the body of the answer. After an error the service
// may or may not have executed the call. A nil client means http.DefaultClient.
func Do(client *http.Client, req *http.Request, limit int64) (status int, body []byte, err error) {
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	reader := io.LimitReader(resp.Body, limit)
	if received, ok := req.Context().Value(receivedKey{}).(func(int64) error); ok {
		reader = &countingReader{reader: reader, received: received}
	}
	body, err = io.ReadAll(reader)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, body, nil
}

// receivedKey is the context key under which WithReceived stores its function.
type receivedKey struct{}

// WithReceived returns a context with which Do calls received with the number of bytes of the answer's body that have arrived so far,
// each time that some have. An error from it ends Do.
func WithReceived(ctx context.Context, received func(bytes int64) error) context.Context {
	return context.WithValue(ctx, receivedKey{}, received)
}

// WithIdleTimeout returns a context that ends once Do has waited for first until the body of an answer begins to arrive, or for idle for
// its next part: the time limit grows with the answer. A function that WithReceived has added to ctx is still called. The caller has to
// call cancel.
func WithIdleTimeout(ctx context.Context, first, idle time.Duration) (limited context.Context, cancel context.CancelFunc) {
	previous, _ := ctx.Value(receivedKey{}).(func(int64) error)
	limited, end := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { end(context.DeadlineExceeded) })
	limited = WithReceived(limited, func(bytes int64) error {
		timer.Reset(idle)
		if previous == nil {
			return nil
		}
		return previous(bytes)
	})
	return limited, func() {
		timer.Stop()
		end(context.Canceled)
	}
}

// countingReader reports the number of bytes read so far.
type countingReader struct {
	reader   io.Reader
	received func(bytes int64) error
	bytes    int64
}

// Read reads a part and reports the bytes read so far.
func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.reader.Read(b)
	if n == 0 {
		return n, err
	}
	c.bytes += int64(n)
	if roomErr := c.received(c.bytes); roomErr != nil {
		return n, roomErr
	}
	return n, err
}
