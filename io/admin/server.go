package admin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"wagtailhoist/core/config"
	"wagtailhoist/core/decl"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
	"wagtailhoist/core/query"
	"wagtailhoist/io/conf"
	"wagtailhoist/io/intake"
	"wagtailhoist/io/store"
)

const (
	// maxBodyBytes bounds the body of a request: a document in which JSON escapes every byte with two, and 64 KiB for the
	// other fields.
	maxBodyBytes = 2*decl.MaxDocumentBytes + 64<<10
	// maxAuthorBytes bounds the author and the change identifier.
	maxAuthorBytes = 128
	// callsPerSecond and callBurst bound the rate of calls with the token. Operators make 9,300 changes a day, 0.1 a second,
	// and a command that waits polls the status a few times a second.
	callsPerSecond = 50
	callBurst      = 100
	// deniedPerSecond and deniedBurst bound the rate of calls without the token, which slows down guessing it.
	deniedPerSecond = 5
	deniedBurst     = 20
	// MaxIdleConns bounds the operators' connections that are open without a call in progress.
	MaxIdleConns = 64
	// MaxHeaderBytes bounds the header of a call, in bytes.
	MaxHeaderBytes = 16 << 10
	// DefaultBodyBudget and MinBodyBudget are the default and the least limit of Server.Bodies, in bytes. The largest body may take
	// three quarters of it.
	DefaultBodyBudget = 8 << 20
	MinBodyBudget     = 2 << 20
	// bodyTimeout bounds the arrival of a body and the wait for its decoding.
	bodyTimeout = 15 * time.Second
	// changeTimeout bounds a change. A healthy store answers in milliseconds.
	changeTimeout = 5 * time.Second
)

// Server serves the API. Its exported fields are set before Handler.
type Server struct {
	ID model.NodeID
	// Token authenticates operators; if it is empty, all calls are denied.
	Token  string
	Config Config
	Fleet  Fleet
	// Jobs is nil if the process schedules no jobs.
	Jobs Jobs
	// Meter is nil if the process has no metrics.
	Meter Meter
	// Log receives the log messages; nil discards them.
	Log *slog.Logger
	// Bodies reads the request bodies within a memory budget; nil means one with the limit DefaultBodyBudget.
	Bodies *intake.Bodies

	// decoding bounds the bodies that are decoded at the same time: a document takes several times its size while it is parsed.
	decoding intake.Gate

	// callLimit and deniedLimit limit the calls with and without the token.
	callLimit, deniedLimit *tokenBucket
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	s.callLimit, s.deniedLimit = newTokenBucket(callBurst, callsPerSecond), newTokenBucket(deniedBurst, deniedPerSecond)
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	if s.Bodies == nil {
		s.Bodies = &intake.Bodies{Limit: DefaultBodyBudget}
	}
	r := mux.NewRouter()
	r.Use(s.authenticate)
	r.HandleFunc("/status", s.status).Methods(http.MethodGet)
	r.HandleFunc("/config", s.current).Methods(http.MethodGet)
	r.HandleFunc("/config", s.apply).Methods(http.MethodPost)
	r.HandleFunc("/query", s.query).Methods(http.MethodPost)
	if s.Meter != nil {
		r.Handle("/metrics", s.Meter.Handler()).Methods(http.MethodGet)
	}
	return r
}

// authenticate passes on the calls that have the token, and limits the rate of all calls.
func (s *Server) authenticate(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		allowed := bearer && s.Token != "" && subtle.ConstantTimeCompare(got[:], want[:]) == 1
		limit := s.callLimit
		if !allowed {
			limit = s.deniedLimit
		}
		switch {
		case !limit.allow(time.Now()):
			s.countRefusal("too many")
			intake.DropBody(w, r)
			w.Header().Set("Retry-After", "1")
			writeFailure(w, &Failure{Kind: KindTooMany, Text: "too many calls; try again in a second"})
		case !allowed:
			s.countRefusal("denied")
			intake.DropBody(w, r)
			s.Log.Warn("operator's call denied", "path", r.URL.Path, "remote", r.RemoteAddr)
			writeFailure(w, &Failure{Kind: KindDenied, Text: "the token is missing or wrong"})
		default:
			intake.MarkAuthenticated(r.Context())
			next.ServeHTTP(w, r)
		}
	})
}

// countRefusal counts a call that was refused before its body was read.
func (s *Server) countRefusal(cause string) {
	if s.Meter != nil {
		s.Meter.Count("refused_calls", "cause", cause, 1)
	}
}

// decodeBody reads the JSON body of a request, decodes it and then calls parse, which parses the text in it. It refuses unknown
// fields and trailing data.
func (s *Server) decodeBody(w http.ResponseWriter, r *http.Request, into any, parse func() error) error {
	deadline := time.Now().Add(bodyTimeout)
	body, err := s.Bodies.Read(w, r, "operators", maxBodyBytes, deadline)
	if err != nil {
		return bodyFailure(err)
	}
	defer body.Release()
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	if err := s.decoding.Enter(ctx); err != nil {
		return bodyFailure(err)
	}
	defer s.decoding.Leave()
	decoder := json.NewDecoder(bytes.NewReader(body.Bytes()))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(into)
	if err == nil {
		if _, err = decoder.Token(); err == io.EOF {
			return parse()
		}
		err = errors.New("data after the end of the JSON value")
	}
	return &Failure{Kind: KindInvalid, Text: "the request is not valid JSON of the expected form: " + err.Error()}
}

// bodyFailure describes a body that wasn't received or decoded. The call had no effect.
func bodyFailure(err error) *Failure {
	switch intake.StatusCode(err) {
	case http.StatusRequestEntityTooLarge:
		return &Failure{Kind: KindTooLarge, Text: "the request is larger than the limit"}
	case http.StatusServiceUnavailable:
		return &Failure{Kind: KindTooMany, Text: "too many calls at once; try again in a second: " + err.Error()}
	}
	return &Failure{Kind: KindInvalid, Text: err.Error()}
}

// writeJSON answers with a value.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the connection is closed
}

// statusByKind maps the kinds of failures to HTTP statuses.
var statusByKind = map[Kind]int{
	KindInvalid:     http.StatusBadRequest,
	KindDenied:      http.StatusUnauthorized,
	KindMissing:     http.StatusNotFound,
	KindConflict:    http.StatusConflict,
	KindTooLarge:    http.StatusRequestEntityTooLarge,
	KindTooMany:     http.StatusTooManyRequests,
	KindUnavailable: http.StatusServiceUnavailable,
	KindUnknown:     http.StatusGatewayTimeout,
	KindInternal:    http.StatusInternalServerError,
}

// writeFailure answers with the failure that describes an error.
func writeFailure(w http.ResponseWriter, err error) {
	f := toFailure(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusByKind[f.Kind])
	_ = json.NewEncoder(w).Encode(f) // an error means that the connection is closed
}

// toFailure converts an error to a Failure with its kind.
func toFailure(err error) *Failure {
	var (
		known       *Failure
		problems    *decl.ProblemsError
		syntax      *query.SyntaxError
		missing     *query.MissingError
		conflict    *config.ConflictError
		infeasible  *plan.ConflictError
		unknown     *conf.UnknownOutcomeError
		unavailable *store.UnavailableError
		noStore     *conf.NoStoreError
	)
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &problems):
		return &Failure{Kind: KindInvalid, Text: err.Error(), Problems: problems.Problems}
	case errors.As(err, &syntax), errors.As(err, &infeasible):
		return &Failure{Kind: KindInvalid, Text: err.Error()}
	case errors.As(err, &missing):
		return &Failure{Kind: KindMissing, Text: err.Error()}
	case errors.As(err, &conflict):
		return &Failure{Kind: KindConflict, Text: err.Error(), Base: conflict.Base, Have: conflict.Have}
	case errors.As(err, &unknown):
		return &Failure{Kind: KindUnknown, Text: err.Error()}
	case errors.As(err, &unavailable), errors.As(err, &noStore):
		return &Failure{Kind: KindUnavailable, Text: err.Error()}
	}
	return &Failure{Kind: KindInternal, Text: err.Error()}
}
