package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"wagtailhoist/stand/fault"
	"wagtailhoist/stand/serve"
)

// Command holds the flags of stand caller.
type Command struct {
	Target   []string      `required:"" help:"URLs of entries, used in turn."`
	Control  string        `default:"127.0.0.1:0" help:"Address of POST /faults."`
	Rate     float64       `default:"20" help:"Requests a second."`
	Duration time.Duration `default:"5s" help:"How long to send."`
	Count    int           `help:"Number of requests; 0 means until the duration is over."`
	Team     string        `default:"desk" help:"Team of the requests."`
	Method   []string      `default:"GET" help:"Methods, used in turn."`
	Keyed    int           `help:"Every n-th request carries an idempotency key; 0 means none."`
	Resend   int           `help:"How often a keyed request is sent again after an unknown outcome."`
	Body     int           `help:"Length of request bodies, in bytes."`
	Size     int           `help:"Length of answers, in bytes."`
	Time     time.Duration `help:"Service time to ask for."`
	Timeout  time.Duration `default:"10s" help:"Deadline of each request."`
	Prefix   string        `default:"r" help:"Prefix of request identifiers; differs between callers."`
	Detail   bool          `help:"List every request in the summary."`
}

// Result is the outcome of one request.
type Result struct {
	ID      string `json:"id"`
	Key     string `json:"key,omitempty"`
	Method  string `json:"method"`
	Status  int    `json:"status,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Node    string `json:"node,omitempty"`
	// Wrong describes how the answer differs from the expected one; empty if it does not.
	Wrong string `json:"wrong,omitempty"`
	Error string `json:"error,omitempty"`
	// Millis is the time from the first sending to the end of the last answer.
	Millis float64 `json:"millis"`
	// Sends is the number of times that the request was sent.
	Sends int `json:"sends"`
}

// Summary holds the statistics over all requests, printed at the end.
type Summary struct {
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	Wrong    int            `json:"wrong"`
	Errors   int            `json:"errors"`
	Statuses map[string]int `json:"statuses"`
	Outcomes map[string]int `json:"outcomes"`
	Nodes    map[string]int `json:"nodes"`
	// P50, P99 and Max are in milliseconds, of verified answers.
	P50      float64  `json:"p50"`
	P99      float64  `json:"p99"`
	Max      float64  `json:"max"`
	Examples []string `json:"examples,omitempty"`
	Requests []Result `json:"requests,omitempty"`
}

// Run sends until the count, the duration or ctx ends, and prints the summary on standard output.
func (c *Command) Run(ctx context.Context) error {
	if c.Rate <= 0 {
		return fmt.Errorf("rate of requests %v is not positive", c.Rate)
	}
	control, err := serve.Open(c.Control)
	if err != nil {
		return err
	}
	faults := &fault.Set{}
	r := mux.NewRouter()
	r.HandleFunc("/faults", faults.Serve).Methods(http.MethodGet, http.MethodPost)
	serve.Announce("control", control.Addr().String())
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	served := make(chan error, 1)
	go func() { served <- serve.HTTP(stop, control, r) }()
	results := c.sendAll(ctx, faults)
	cancel()
	if err := <-served; err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(summarise(results, c.Detail))
}

// sendAll starts requests at the rate, independent of the progress of earlier ones, and waits for the results of all.
func (c *Command) sendAll(ctx context.Context, faults *fault.Set) []Result {
	var mu sync.Mutex
	var results []Result
	var wait sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	begin := time.Now()
	interval := time.Duration(float64(time.Second) / c.Rate)
	for n := 0; c.Count == 0 || n < c.Count; n++ {
		due := begin.Add(time.Duration(n) * interval)
		if c.Count == 0 && due.Sub(begin) >= c.Duration || !pause(ctx, time.Until(due)) {
			break
		}
		if _, down := faults.Take(func(f fault.Fault) bool { return f.Mode == fault.Down }); down {
			continue
		}
		wait.Go(func() {
			result := c.sendWithRetries(client, n, faults)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
		})
	}
	wait.Wait()
	return results
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
