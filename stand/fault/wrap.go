package fault

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// Wrap returns a handler that applies matching faults to the calls of a service and passes the other calls to next.
func (s *Set) Wrap(service string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, ok := s.Take(func(f Fault) bool { return f.matches(service, r) })
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		switch f.Mode {
		case Down:
			http.Error(w, "unavailable: fault down is set", http.StatusServiceUnavailable)
		case Slow:
			time.Sleep(time.Duration(f.Delay) * time.Millisecond)
			next.ServeHTTP(w, r)
		case LoseAnswer:
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		case WithholdAnswer:
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case Silent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case Refuse:
			panic(http.ErrAbortHandler)
		case Twice:
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			r.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// discardWriter is a response writer that discards the answer.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
