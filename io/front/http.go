package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/retry"
	"wagtailhoist/io/intake"
	"wagtailhoist/io/link"
)

// Headers of requests and responses.
const (
	HeaderTeam    = "Wagtailhoist-Team"
	HeaderTimeout = "Wagtailhoist-Timeout"
	HeaderService = "Wagtailhoist-Service"
	HeaderOutcome = "Wagtailhoist-Outcome"
	// HeaderSum is the xxhash64 of the response body in hexadecimal.
	HeaderSum = "Wagtailhoist-Sum"
	HeaderKey = "Idempotency-Key"
)

// DefaultService is the service of requests without a service header.
const DefaultService = "default"

const (
	defaultTimeout = 30 * time.Second
	// maxTimeout is below the retention time of claims, so that no attempt outlives its claim.
	maxTimeout = 10 * time.Minute
	// writeTimeout is how long a caller may take to read the response: 16 MiB at 2.2 Mbit/s.
	writeTimeout = time.Minute
	// retryAfter is the Retry-After of refusals, in seconds.
	retryAfter = "1"
)

const (
	// MaxIdleConns is the maximum number of callers' connections without a request in progress.
	MaxIdleConns = 2048
	// MaxHeaderBytes is the maximum size of a request header in bytes.
	MaxHeaderBytes = 32 << 10
)

// Server is the HTTP handler for callers' requests.
type Server struct {
	Handle Handler
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64
	// AskToClose reports whether responses ask callers to close their connections; nil means never.
	AskToClose func() bool
	// Bodies reads the request bodies within a memory budget; nil means one with the default limit.
	Bodies *intake.Bodies
	// Answers bounds the memory of the answers; nil means a bound with the default limit.
	Answers *Answers

	defaultBodies  intake.Bodies
	defaultAnswers Answers
}

// bodies returns the reader of request bodies.
func (s *Server) bodies() *intake.Bodies {
	if s.Bodies != nil {
		return s.Bodies
	}
	return &s.defaultBodies
}

// answers returns the bound on the memory of answers.
func (s *Server) answers() *Answers {
	if s.Answers != nil {
		return s.Answers
	}
	return &s.defaultAnswers
}

// ServeHTTP runs the request and writes the minion's response or an outcome.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if s.AskToClose != nil && s.AskToClose() {
		w.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	// The client's address holds the memory of its requests, because the team in the header isn't authenticated.
	holder := intake.Address(r)
	call, code, err := readHeader(now, r)
	var body *intake.Body
	if err != nil {
		intake.DropBody(w, r)
	} else if body, err = s.bodies().Read(w, r, holder, s.MaxBodyBytes, call.Deadline); err != nil {
		code = intake.StatusCode(err)
	}
	// Until the end of the response, the connection is not closed in favour of newer ones.
	intake.MarkAuthenticated(r.Context())
	if err != nil {
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		reply := notRunReply(err.Error())
		reply.Code = code
		writeOutcome(w, r, reply)
		return
	}
	defer body.Release()
	call.Body = body.Bytes()
	call.room = s.answers().newRoom(holder)
	defer call.room.release()
	reply := s.Handle(r.Context(), call)
	deadline := time.Now().Add(writeTimeout)
	if reply.Outcome == retry.OutcomeAnswered {
		if call.room.startWriting(control, deadline) {
			writeAnswer(w, r, reply, call.room)
			return
		}
		reply = Reply{Outcome: retry.OutcomeUnknown, Reason: reasonAnswerRoom, Attempt: reply.Attempt}
	}
	_ = control.SetWriteDeadline(deadline)
	writeOutcome(w, r, reply)
}

// readHeader parses the header of r, or returns an error and the HTTP status for it.
func readHeader(now time.Time, r *http.Request) (Call, int, error) {
	// Absolute and opaque targets, * and CONNECT have no path that a minion could serve.
	path := r.URL.RequestURI()
	if !strings.HasPrefix(path, "/") || r.Method == http.MethodConnect {
		return Call{}, http.StatusBadRequest, fmt.Errorf("request target %q is not a path", path)
	}
	timeout := defaultTimeout
	if v := r.Header.Get(HeaderTimeout); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return Call{}, http.StatusBadRequest, fmt.Errorf("%s %q is not between 1 and %d ms", HeaderTimeout, v, maxTimeout.Milliseconds())
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	keys := r.Header.Values(HeaderKey)
	if len(keys) > 1 || len(keys) == 1 && (keys[0] == "" || len(keys[0]) > 256) {
		return Call{}, http.StatusBadRequest, fmt.Errorf("%s must be one value of 1 to 256 bytes", HeaderKey)
	}
	key := r.Header.Get(HeaderKey)
	service := r.Header.Get(HeaderService)
	if service == "" {
		service = DefaultService
	}
	return Call{
		Service:    service,
		Team:       model.Team(r.Header.Get(HeaderTeam)),
		Key:        key,
		Idempotent: key == "" && isIdempotent(r.Method),
		Deadline:   now.Add(timeout),
		Method:     r.Method,
		Path:       path,
		Host:       r.Host,
		Header:     forwardedHeaders(r.Header),
	}, 0, nil
}

func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// hopHeaders are the hop-by-hop headers and the headers that an entry sets itself; they are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
	HeaderOutcome: true, HeaderSum: true,
}

// forwardedHeaders returns the headers without hop-by-hop headers and those that Connection names.
func forwardedHeaders(h http.Header) map[string][]string {
	out := make(map[string][]string, len(h))
	for k, v := range h {
		if !hopHeaders[k] {
			out[k] = v
		}
	}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

func writeAnswer(w http.ResponseWriter, r *http.Request, reply Reply, room *answerRoom) {
	h := w.Header()
	for k, v := range forwardedHeaders(reply.Header) {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing a type that the minion did not set
	}
	h.Set(HeaderOutcome, string(reply.Outcome))
	h.Set(HeaderSum, strconv.FormatUint(link.Sum(reply.Body), 16))
	switch {
	case r.Method == http.MethodHead:
		if v := http.Header(reply.Header).Get("Content-Length"); v != "" {
			h.Set("Content-Length", v)
		}
	case reply.Status != http.StatusNoContent && reply.Status != http.StatusNotModified:
		h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	}
	w.WriteHeader(reply.Status)
	for part := range slices.Chunk(reply.Body, writePart) {
		if _, err := w.Write(part); err != nil {
			return
		}
		room.noteProgress()
	}
}

// outcomeBody is the body of responses that an entry writes when there is no response of a minion.
type outcomeBody struct {
	Outcome retry.Outcome `json:"outcome"`
	Reason  string        `json:"reason"`
	Attempt string        `json:"attempt,omitempty"`
}

func writeOutcome(w http.ResponseWriter, r *http.Request, reply Reply) {
	o := outcomeBody{Outcome: reply.Outcome, Reason: reply.Reason}
	if reply.Attempt.Entry != 0 {
		o.Attempt = reply.Attempt.String()
	}
	body, err := json.Marshal(o)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	body = append(body, '\n')
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(reply.Outcome))
	h.Set(HeaderSum, strconv.FormatUint(link.Sum(body), 16))
	code := reply.Code
	if code == 0 {
		code = statusCode(reply.Outcome)
	}
	if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
		h.Set("Retry-After", retryAfter)
	}
	w.WriteHeader(code)
	if r.Method != http.MethodHead {
		_, _ = w.Write(body)
	}
}

func statusCode(o retry.Outcome) int {
	switch o {
	case retry.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case retry.OutcomeDuplicate:
		return http.StatusConflict
	}
	return http.StatusGatewayTimeout
}
