package caller

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"wagtailhoist/stand/echo"
	"wagtailhoist/stand/fault"
)

// The caller must not count a truncated answer, or one to another request or not from a minion, as answered.
func TestAnswersAreVerified(t *testing.T) {
	own := func(r *http.Request) []byte {
		body, _ := io.ReadAll(r.Body)
		return echo.Answer(echo.Request{
			Method: r.Method, Path: r.URL.RequestURI(), ID: r.Header.Get(echo.ID), Key: r.Header.Get(echo.Key), Body: body,
		}, 300)
	}
	for _, tc := range []struct {
		name   string
		answer func(w http.ResponseWriter, r *http.Request)
		want   string
	}{
		{"own", func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(own(r)) }, "answered"},
		{"cut", func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(own(r)[:299]) }, "wrong"},
		{"foreign", func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set(echo.ID, "other")
			_, _ = w.Write(own(r))
		}, "wrong"},
		{"without the header of a minion", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Del(echo.Node)
			_, _ = w.Write(own(r))
		}, "wrong"},
		{"broken", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "300")
			_, _ = w.Write(own(r)[:100])
		}, "error"},
		{"unknown outcome", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Wagtailhoist-Outcome", "unknown")
			w.WriteHeader(http.StatusGatewayTimeout)
		}, "unknown"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(echo.Node, "m")
				tc.answer(w, r)
			}))
			defer server.Close()
			c := Command{
				Target: []string{server.URL}, Rate: 100, Count: 4, Method: []string{"POST", "GET"}, Body: 20, Size: 300,
				Keyed: 2, Timeout: 5 * time.Second, Prefix: "r",
			}
			s := summarise(c.sendAll(t.Context(), &fault.Set{}), true)
			got := fmt.Sprint(s.Answered, s.Wrong, s.Errors, s.Outcomes["unknown"])
			want := map[string]string{
				"answered": "4 0 0 0", "wrong": "0 4 0 0", "error": "0 0 4 0", "unknown": "0 0 0 4",
			}[tc.want]
			if got != want || s.Sent != 4 {
				t.Errorf("answered, wrong, errors, unknown: got %s, want %s; %v", got, want, s.Examples)
			}
		})
	}
}
