package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"wagtailhoist/io/call"
)

// maxAnswerBytes bounds an answer. A table of 95,000 jobs takes about 20 MB.
const maxAnswerBytes = 64 << 20

// Client calls the API of an entry. Failed calls return a *Failure.
type Client struct {
	// URL is the root of the operators' listener, for example http://10.0.0.1:7403.
	URL   string
	Token string
	// HTTP sends the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

// Status returns the status without the cells.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &out)
	return out, err
}

// StatusWithCells returns the status with the cells, for which the entry reads the plans of other owners from the store.
func (c *Client) StatusWithCells(ctx context.Context) (Status, error) {
	var out Status
	err := c.call(ctx, http.MethodGet, "/status?cells", nil, &out)
	return out, err
}

// CurrentConfig returns the configuration in force.
func (c *Client) CurrentConfig(ctx context.Context) (CurrentConfig, error) {
	var out CurrentConfig
	err := c.call(ctx, http.MethodGet, "/config", nil, &out)
	return out, err
}

// Apply writes a configuration. After a failure of KindUnknown it can be retried with the same change identifier.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (ApplyAnswer, error) {
	var out ApplyAnswer
	err := c.call(ctx, http.MethodPost, "/config", req, &out)
	return out, err
}

// Query answers a query or carries out a change.
func (c *Client) Query(ctx context.Context, req QueryRequest) (QueryAnswer, error) {
	var out QueryAnswer
	err := c.call(ctx, http.MethodPost, "/query", req, &out)
	return out, err
}

// call sends a request with in as its JSON body and decodes the answer into out.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	req, err := call.NewRequest(ctx, method, c.URL+path, in)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	status, data, err := call.Do(c.HTTP, req, maxAnswerBytes)
	if err != nil {
		return unansweredFailure(method, err)
	}
	if status != http.StatusOK {
		f := &Failure{}
		if err := json.Unmarshal(data, f); err != nil || f.Kind == "" {
			return &Failure{Kind: KindInternal, Text: fmt.Sprintf("the entry answered with HTTP status %d and no description of the failure", status)}
		}
		return f
	}
	if err := json.Unmarshal(data, out); err != nil {
		return unansweredFailure(method, err)
	}
	return nil
}

// unansweredFailure returns the failure for a call without an answer. A change that was sent may have taken effect.
func unansweredFailure(method string, err error) error {
	if method == http.MethodGet || call.NotSent(err) {
		return &Failure{Kind: KindUnavailable, Text: "the entry can't be reached: " + err.Error()}
	}
	return &Failure{Kind: KindUnknown, Text: "the entry did not answer, so the effect is unknown: " + err.Error()}
}
