package front

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/retry"
	"wagtailhoist/io/link"
)

// Headers of callers' requests and of answers.
const (
	HeaderTeam    = "Wagtailhoist-Team"
	HeaderTimeout = "Wagtailhoist-Timeout"
	HeaderService = "Wagtailhoist-Service"
	HeaderOutcome = "Wagtailhoist-Outcome"
	// HeaderSum is the xxhash64 of the answer's body in hexadecimal.
	HeaderSum = "Wagtailhoist-Sum"
	HeaderKey = "Idempotency-Key"
)

// DefaultService is the service of requests without a service header.
const DefaultService = "default"

const (
	defaultTimeout = 30 * time.Second
	// maxTimeout is below the retention of claims, so that no attempt outlives its claim.
	maxTimeout = 10 * time.Minute
	// readLimit is the time in which a caller has to send its body.
	readLimit = 30 * time.Second
	// writeLimit is the time in which a caller has to take its answer: 16 MiB at 2.2 Mbit/s.
	writeLimit = time.Minute
	// retryAfter is the Retry-After of refusals, in seconds.
	retryAfter = "1"
)

const (
	// Guests is the number of callers' connections that may be open without a request in progress.
	Guests = 2048
	// MaxHeader is the largest header of a caller's request in bytes.
	MaxHeader = 32 << 10
)

// Server answers callers.
type Server struct {
	Handle Handler
	// MaxBody is the largest body of a request in bytes.
	MaxBody int64
	// Closing returns true while callers have to be told to close their connections; nil means never.
	Closing func() bool
	// Buffer bounds the bytes of all request bodies at a time; 0 means DefaultBuffer.
	Buffer int64

	held atomic.Int64
}

// DefaultBuffer is the default bound of request bodies in memory, in bytes.
const DefaultBuffer = 256 << 20

// hold takes room for a body; bodies are read before requests queue, so the queues do not bound them.
func (s *Server) hold(n int64) bool {
	limit := s.Buffer
	if limit == 0 {
		limit = DefaultBuffer
	}
	if s.held.Add(n) > limit {
		s.held.Add(-n)
		return false
	}
	return true
}

var errNoRoom = errors.New("entry has no room for the body")

// heldBody takes room for a body as it arrives: room taken for its declared length could be
// held by callers that send none of it.
type heldBody struct {
	io.ReadCloser
	server *Server
	size   int64
}

// Read reads a part for which there is room, or returns errNoRoom.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if !b.server.hold(int64(n)) {
			return 0, errNoRoom
		}
		b.size += int64(n)
	}
	return n, err
}

// ServeHTTP runs the request and writes its answer or its outcome.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if s.Closing != nil && s.Closing() {
		w.Header().Set("Connection", "close")
	}
	body := &heldBody{ReadCloser: http.MaxBytesReader(w, r.Body, s.MaxBody), server: s}
	r.Body = body
	defer func() { s.held.Add(-body.size) }()
	// A caller that stops sending or reading must not hold up a graceful shutdown.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(now.Add(readLimit))
	call, code, err := s.read(now, r)
	_ = control.SetReadDeadline(time.Time{})
	link.Admit(r.Context())
	if err != nil {
		_ = control.SetWriteDeadline(time.Now().Add(writeLimit))
		reply := notRun(err.Error())
		reply.Code = code
		writeOutcome(w, r, reply)
		return
	}
	reply := s.Handle(r.Context(), call)
	_ = control.SetWriteDeadline(time.Now().Add(writeLimit))
	if reply.Outcome == retry.OutcomeAnswered {
		writeAnswer(w, r, reply)
		return
	}
	writeOutcome(w, r, reply)
}

// read returns the call that r makes, or the status that refuses it.
func (s *Server) read(now time.Time, r *http.Request) (Call, int, error) {
	// An absolute or opaque target, * and CONNECT have no path that a minion could serve.
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
	body, err := io.ReadAll(r.Body)
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return Call{}, http.StatusRequestEntityTooLarge, fmt.Errorf("body exceeds %d bytes", large.Limit)
		}
		if errors.Is(err, errNoRoom) {
			return Call{}, http.StatusServiceUnavailable, err
		}
		return Call{}, http.StatusBadRequest, fmt.Errorf("read body: %w", err)
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
		Idempotent: key == "" && idempotent(r.Method),
		Deadline:   now.Add(timeout),
		Method:     r.Method,
		Path:       path,
		Host:       r.Host,
		Header:     forwarded(r.Header),
		Body:       body,
	}, 0, nil
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// hop lists the headers that end at each connection, and those that this side sets itself.
var hop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
	HeaderOutcome: true, HeaderSum: true,
}

// forwarded returns the headers that go on to the other side.
func forwarded(h http.Header) map[string][]string {
	out := make(map[string][]string, len(h))
	for k, v := range h {
		if !hop[k] {
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

func writeAnswer(w http.ResponseWriter, r *http.Request, reply Reply) {
	h := w.Header()
	for k, v := range forwarded(reply.Header) {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // net/http would guess a type that the minion did not give
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
	_, _ = w.Write(reply.Body)
}

// outcome is the body of answers that the system itself gives.
type outcome struct {
	Outcome retry.Outcome `json:"outcome"`
	Reason  string        `json:"reason"`
	Attempt string        `json:"attempt,omitempty"`
}

func writeOutcome(w http.ResponseWriter, r *http.Request, reply Reply) {
	o := outcome{Outcome: reply.Outcome, Reason: reply.Reason}
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
		code = status(reply.Outcome)
	}
	if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
		h.Set("Retry-After", retryAfter)
	}
	w.WriteHeader(code)
	if r.Method != http.MethodHead {
		_, _ = w.Write(body)
	}
}

func status(o retry.Outcome) int {
	switch o {
	case retry.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case retry.OutcomeDuplicate:
		return http.StatusConflict
	}
	return http.StatusGatewayTimeout
}
