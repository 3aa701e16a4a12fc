package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"wagtailhoist/stand/echo"
	"wagtailhoist/stand/fault"
)

const (
	// answerMargin is how much longer than the request's deadline the caller waits for an answer.
	answerMargin = 2 * time.Second
	// maxExamples bounds the wrong answers and errors quoted in the summary.
	maxExamples = 5
)

// sendWithRetries sends the n-th request. If it has an idempotency key, it is resent up to c.Resend times while its outcome
// is unknown.
func (c *Command) sendWithRetries(client *http.Client, n int, faults *fault.Set) Result {
	result := Result{ID: fmt.Sprintf("%s-%d", c.Prefix, n), Method: c.Method[n%len(c.Method)]}
	if c.Keyed > 0 && n%c.Keyed == 0 {
		result.Key = "key-" + result.ID
	}
	begin := time.Now()
	for {
		result.Sends++
		result.Status, result.Outcome, result.Node, result.Wrong, result.Error = 0, "", "", "", ""
		target := c.Target[(n+result.Sends-1)%len(c.Target)]
		c.attempt(client, target, &result, faults)
		unknown := result.Error != "" || result.Outcome == "unknown"
		if !unknown || result.Key == "" || result.Sends > c.Resend {
			break
		}
	}
	result.Millis = float64(time.Since(begin).Microseconds()) / 1000
	return result
}

func (c *Command) attempt(client *http.Client, target string, result *Result, faults *fault.Set) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout+answerMargin)
	defer cancel()
	want := echo.Request{Method: result.Method, Path: "/echo/" + result.ID, ID: result.ID, Key: result.Key}
	if c.Body > 0 {
		want.Body = bytes.Repeat([]byte(result.ID+" "), c.Body/(len(result.ID)+1)+1)[:c.Body]
	}
	req, err := http.NewRequestWithContext(ctx, want.Method, strings.TrimSuffix(target, "/")+want.Path,
		bytes.NewReader(want.Body))
	if err != nil {
		result.Error = err.Error()
		return
	}
	// Without GetBody, net/http can't replay a body, so that it does not resend a request with a body by itself.
	req.GetBody = nil
	c.setHeaders(req, want)
	resp, err := client.Do(req)
	if err != nil {
		result.Error = err.Error()
		return
	}
	defer resp.Body.Close()
	result.Status = resp.StatusCode
	result.Outcome = resp.Header.Get("Wagtailhoist-Outcome")
	result.Node = resp.Header.Get(echo.Node)
	f, injected := faults.Take(func(f fault.Fault) bool {
		return f.Mode == fault.Slow || f.Mode == fault.Silent || f.Mode == fault.LoseAnswer
	})
	if injected && f.Mode == fault.Slow {
		time.Sleep(time.Duration(f.Delay) * time.Millisecond)
	} else if injected {
		if f.Mode == fault.Silent {
			<-ctx.Done()
		}
		result.Error = "answer not read because of an injected fault of the caller"
		return
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		result.Error = "reading the answer: " + err.Error()
		return
	}
	if result.Outcome == "" || result.Outcome == "answered" {
		result.Wrong = verifyAnswer(got, resp, want, c.Size)
	}
}

func (c *Command) setHeaders(req *http.Request, want echo.Request) {
	req.Header.Set("Wagtailhoist-Team", c.Team)
	req.Header.Set("Wagtailhoist-Timeout", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	req.Header.Set(echo.ID, want.ID)
	req.Header.Set(echo.Size, strconv.Itoa(c.Size))
	if c.Time > 0 {
		req.Header.Set(echo.Time, c.Time.String())
	}
	if want.Key != "" {
		req.Header.Set(echo.Key, want.Key)
	}
}

// verifyAnswer describes how an answer differs from the expected one; it returns "" if it does not.
func verifyAnswer(got []byte, resp *http.Response, want echo.Request, size int) string {
	if resp.Header.Get(echo.Node) == "" {
		return fmt.Sprintf("status %d, but the answer does not come from a minion", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return "status 503: refused by the minion"
	}
	body := echo.Answer(want, size)
	if want.Method == http.MethodHead {
		if resp.ContentLength != int64(len(body)) {
			return fmt.Sprintf("content length %d, want %d", resp.ContentLength, len(body))
		}
		return ""
	}
	if !bytes.Equal(got, body) {
		first, _, _ := bytes.Cut(got, []byte("\n"))
		return fmt.Sprintf("body differs: got %d bytes, want %d; it begins with %.80q", len(got), len(body), first)
	}
	return ""
}

func summarise(results []Result, detail bool) Summary {
	s := Summary{Statuses: map[string]int{}, Outcomes: map[string]int{}, Nodes: map[string]int{}}
	var times []float64
	sort.Slice(results, func(i, j int) bool { return results[i].ID < results[j].ID })
	for _, r := range results {
		s.Sent++
		if r.Status != 0 {
			s.Statuses[strconv.Itoa(r.Status)]++
		}
		if r.Outcome != "" {
			s.Outcomes[r.Outcome]++
		}
		switch {
		case r.Error != "":
			s.Errors++
		case r.Wrong != "":
			s.Wrong++
		case r.Outcome == "" || r.Outcome == "answered":
			s.Answered++
			s.Nodes[r.Node]++
			times = append(times, r.Millis)
		}
		if text := r.Error + r.Wrong; text != "" && len(s.Examples) < maxExamples {
			s.Examples = append(s.Examples, r.ID+": "+text)
		}
	}
	sort.Float64s(times)
	if n := len(times); n > 0 {
		s.P50, s.P99, s.Max = times[n/2], times[n*99/100], times[n-1]
	}
	if detail {
		s.Requests = results
	}
	return s
}
