package fault

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// Wrap returns a handler that fails calls of the service named of as the list says, and passes on the others.
func (s *Set) Wrap(of string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, ok := s.Take(func(f Fault) bool { return f.matches(of, r) })
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
			http.Error(w, "down", http.StatusServiceUnavailable)
		case Slow:
			time.Sleep(time.Duration(f.Delay) * time.Millisecond)
			next.ServeHTTP(w, r)
		case Lost:
			next.ServeHTTP(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		case Mute:
			next.ServeHTTP(&discard{header: http.Header{}}, r)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case Silent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case Refuse:
			panic(http.ErrAbortHandler)
		case Twice:
			next.ServeHTTP(&discard{header: http.Header{}}, r)
			r.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// discard drops an answer.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
