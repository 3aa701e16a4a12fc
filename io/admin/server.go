package admin

import (
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
	"wagtailhoist/io/link"
	"wagtailhoist/io/store"
)

const (
	// maxBody bounds a request: a document whose every byte is escaped in JSON with two, and the rest.
	maxBody = 2*decl.MaxDocument + 64<<10
	// maxAuthor bounds the author and the change identifier, in bytes.
	maxAuthor = 128
	// callRate and callBurst bound the calls a second. Operators make 9,300 changes a day, 0.1 a
	// second; waiting commands ask for the status a few times a second each.
	callRate  = 50
	callBurst = 100
	// deniedRate bounds the answers to calls without the token, so that it can't be guessed fast.
	deniedRate  = 5
	deniedBurst = 20
	// Guests is the number of operators' connections that may be open without a call in progress.
	Guests = 64
	// MaxHeader is the largest header of a call in bytes.
	MaxHeader = 16 << 10
	// writeTime bounds a change; the store answers in milliseconds when it is healthy.
	writeTime = 5 * time.Second
)

// Server serves the API. Jobs and Meter may be nil.
type Server struct {
	ID     model.NodeID
	Token  string
	Config Config
	Fleet  Fleet
	Jobs   Jobs
	Meter  Meter
	Log    *slog.Logger

	calls, denied *bucket
}

// Handler returns the API's handler.
func (s *Server) Handler() http.Handler {
	s.calls, s.denied = newBucket(callBurst, callRate), newBucket(deniedBurst, deniedRate)
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	r := mux.NewRouter()
	r.Use(s.check)
	r.HandleFunc("/status", s.status).Methods(http.MethodGet)
	r.HandleFunc("/config", s.current).Methods(http.MethodGet)
	r.HandleFunc("/config", s.apply).Methods(http.MethodPost)
	r.HandleFunc("/query", s.query).Methods(http.MethodPost)
	if s.Meter != nil {
		r.Handle("/metrics", s.Meter.Handler()).Methods(http.MethodGet)
	}
	return r
}

// check admits calls that carry the token, at a bounded rate.
func (s *Server) check(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		allowed := bearer && s.Token != "" && subtle.ConstantTimeCompare(got[:], want[:]) == 1
		limit := s.calls
		if !allowed {
			limit = s.denied
		}
		switch {
		case !limit.take(time.Now()):
			s.refused("too many")
			w.Header().Set("Retry-After", "1")
			fail(w, &Failure{Kind: KindTooMany, Text: "too many calls; try again in a second"})
		case !allowed:
			s.refused("denied")
			s.Log.Warn("operator's call denied", "path", r.URL.Path, "remote", r.RemoteAddr)
			fail(w, &Failure{Kind: KindDenied, Text: "the token is missing or wrong"})
		default:
			link.Admit(r.Context())
			r.Body = http.MaxBytesReader(w, r.Body, maxBody)
			next.ServeHTTP(w, r)
		}
	})
}

// refused counts a call that was refused before it was read.
func (s *Server) refused(cause string) {
	if s.Meter != nil {
		s.Meter.Count("refused_calls", "cause", cause, 1)
	}
}

// read decodes the body of a request strictly.
func read(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		if _, err = decoder.Token(); err == io.EOF {
			return nil
		}
		err = errors.New("data after the end")
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &Failure{Kind: KindTooLarge, Text: "the request is larger than the limit"}
	}
	return &Failure{Kind: KindInvalid, Text: "the request is not valid JSON of the expected form: " + err.Error()}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator has gone
}

// statuses are the HTTP statuses of the kinds of failures.
var statuses = map[Kind]int{
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

func fail(w http.ResponseWriter, err error) {
	f := failure(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statuses[f.Kind])
	_ = json.NewEncoder(w).Encode(f) // the operator has gone
}

// failure gives an error its kind.
func failure(err error) *Failure {
	var (
		known       *Failure
		problems    *decl.ProblemsError
		syntax      *query.SyntaxError
		missing     *query.MissingError
		conflict    *config.ConflictError
		infeasible  *plan.ConflictError
		unknown     *conf.UnknownError
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
