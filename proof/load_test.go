package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"wagtailhoist/stand/echo"
)

// request is a request of a caller.
type request struct {
	id, method string
	body, size int           // bytes of the request body and of the answer
	service    time.Duration // execution time at the minion, 0 for its default
	timeout    time.Duration
}

// result is the answer or error that a caller received.
type result struct {
	request
	status  int
	outcome string
	reason  string
	// mismatch describes an answer that is incomplete, belongs to another request or contradicts its outcome.
	mismatch string
	// err is set if the connection broke.
	err   error
	sent  time.Time
	ended time.Time
}

// callerClient is the HTTP client of all callers. It doesn't resend a request after a broken connection, because send
// passes bodies that can't be rewound.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// callerSlack is how long a caller waits for an answer after the request's deadline.
const callerSlack = 2 * time.Second

// send sends one request to target and checks the answer.
func send(target string, q request) (r result) {
	r = result{request: q, sent: time.Now()}
	defer func() { r.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout+callerSlack)
	defer cancel()
	want := echo.Request{Method: q.method, Path: "/echo/" + q.id, ID: q.id, Body: bytes.Repeat([]byte(q.id+" "), q.body/(len(q.id)+1))}
	req, err := http.NewRequestWithContext(ctx, q.method, target+want.Path, struct{ io.Reader }{bytes.NewReader(want.Body)})
	if err != nil {
		r.err = err
		return r
	}
	req.ContentLength = int64(len(want.Body))
	req.Header.Set(echo.ID, q.id)
	req.Header.Set(echo.Size, strconv.Itoa(q.size))
	if q.service > 0 {
		req.Header.Set(echo.Time, q.service.String())
	}
	req.Header.Set("Wagtailhoist-Timeout", strconv.FormatInt(q.timeout.Milliseconds(), 10))
	resp, err := callerClient.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.outcome = resp.StatusCode, resp.Header.Get("Wagtailhoist-Outcome")
	r.checkAnswer(got, echo.Answer(want, q.size), resp.Header)
	return r
}

// checkAnswer sets r.mismatch unless checksum, status, outcome and body of the answer fit the request.
func (r *result) checkAnswer(got, want []byte, header http.Header) {
	if sum := strconv.FormatUint(xxhash.Sum64(got), 16); header.Get("Wagtailhoist-Sum") != sum {
		r.mismatch = fmt.Sprintf("sum %s of %d bytes, header says %s", sum, len(got), header.Get("Wagtailhoist-Sum"))
		return
	}
	status := map[string]int{"answered": 200, "not-run": 503, "unknown": 504}[r.outcome]
	if status != r.status {
		r.mismatch = fmt.Sprintf("outcome %q with status %d", r.outcome, r.status)
		return
	}
	if r.outcome == "answered" {
		if !bytes.Equal(got, want) {
			r.mismatch = fmt.Sprintf("%d bytes beginning %.60q, want %d beginning %.60q", len(got), got, len(want), want)
		}
		return
	}
	var o struct{ Outcome, Reason string }
	if err := json.Unmarshal(got, &o); err != nil || o.Outcome != r.outcome || o.Reason == "" {
		r.mismatch = fmt.Sprintf("outcome body %.100q: %v", got, err)
	}
	r.reason = o.Reason
}

// load is a group of callers, each of which sends one request after the other.
type load struct {
	stop    atomic.Bool
	wait    sync.WaitGroup
	mu      sync.Mutex
	results []result
}

// startLoad starts callers that send requests to the running entries in turn until finish is called. Methods and
// sizes vary; request identifiers begin with prefix.
func startLoad(prefix string, workers int, timeout time.Duration, entries ...*process) *load {
	return startLoadAt(prefix, workers, timeout, func(n int) *process {
		for i := range entries {
			if target := entries[(n+i)%len(entries)]; !target.ended() {
				return target
			}
		}
		return entries[n%len(entries)]
	})
}

// startLoadAt is startLoad with chooseEntry choosing the entry of each request, as a load balancer does.
func startLoadAt(prefix string, workers int, timeout time.Duration, chooseEntry func(n int) *process) *load {
	l := &load{}
	for w := range workers {
		l.wait.Go(func() {
			for n := 0; !l.stop.Load(); n++ {
				q := request{id: fmt.Sprintf("%s%d-%d", prefix, w, n), method: []string{"POST", "GET", "PUT"}[n%3], body: 64, timeout: timeout}
				if n%7 == 0 && q.method != "GET" {
					q.body = 150_000
				}
				if n%5 == 0 {
					q.size = 200_000
				}
				r := send(chooseEntry(w+n).url("listen"), q)
				l.mu.Lock()
				l.results = append(l.results, r)
				l.mu.Unlock()
				if r.outcome != "answered" {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	return l
}

// answered returns the number of answered requests that were sent after since.
func (l *load) answered(since time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.results {
		if r.outcome == "answered" && r.sent.After(since) {
			n++
		}
	}
	return n
}

// finish stops the callers and returns all results.
func (l *load) finish() []result {
	l.stop.Store(true)
	l.wait.Wait()
	return l.results
}

// outcomes counts results by outcome; broken connections count as "broken".
func outcomes(results []result) map[string]int {
	out := map[string]int{}
	for _, r := range results {
		switch {
		case r.err != nil:
			out["broken"]++
		default:
			out[r.outcome]++
		}
	}
	return out
}

// checkAnswers fails the test for each request that got neither its own complete answer nor an explicit outcome (P3).
// mayBreak permits broken connections, for tests that kill an entry.
func checkAnswers(t *testing.T, results []result, mayBreak bool) {
	t.Helper()
	for _, r := range results {
		if r.mismatch != "" {
			t.Errorf("%s %s: %s", r.method, r.id, r.mismatch)
		}
		if r.err != nil && !mayBreak {
			t.Errorf("%s %s: %v after %v", r.method, r.id, r.err, r.ended.Sub(r.sent))
		}
	}
}

// checkExecutions fails the test for each request that ran although its outcome is not-run (P4), each POST that ran
// twice, and each request that was answered without a run.
func checkExecutions(t *testing.T, results []result, ran map[string]int) {
	t.Helper()
	for _, r := range results {
		n := ran[r.id]
		if r.outcome == "not-run" && n > 0 {
			t.Errorf("%s %s ran %d times, outcome not-run (%s)", r.method, r.id, n, r.reason)
		}
		if r.method == "POST" && n > 1 {
			t.Errorf("POST %s ran %d times, outcome %s", r.id, n, r.outcome)
		}
		if r.outcome == "answered" && n == 0 {
			t.Errorf("%s %s was answered without a run", r.method, r.id)
		}
	}
}
