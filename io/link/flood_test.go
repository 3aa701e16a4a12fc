package link

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"wagtailhoist/io/intake"
)

// BenchmarkForgedAnnouncements measures the memory that a listener holds while senders without the token
// open connections and leave them open: sent=hello sends a wrong token, sent=nothing no byte.
func BenchmarkForgedAnnouncements(b *testing.B) {
	for _, sent := range []string{"nothing", "hello"} {
		for _, attempts := range []int{1_000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("sent=%s/attempts=%d", sent, attempts), func(b *testing.B) {
				for b.Loop() {
					benchForged(b, sent == "hello", attempts)
				}
			})
		}
	}
}

// benchForged opens the given number of connections and reports the memory held and the connections
// refused.
func benchForged(b *testing.B, hello bool, attempts int) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := Settings{Token: "t", Counters: new(Counters)}
	server := &http.Server{ConnState: intake.TrackHeaders, MaxHeaderBytes: MaxHeaderBytes, ReadTimeout: time.Minute, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) { _, _ = Accept(w, r, s) },
	)}
	go func() { _ = server.Serve(Listen(inner, MaxUnauthenticatedConns, &s.Counters.UnauthenticatedConns)) }()
	defer server.Close()
	before := inUse()
	// The sender keeps open twice as many connections as the listener allows.
	open := make([]net.Conn, 2*MaxUnauthenticatedConns)
	for n := range attempts {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		if hello {
			_, _ = io.WriteString(c, "GET "+Path+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer forged\r\n\r\n")
		}
		if old := open[n%len(open)]; old != nil {
			old.Close()
		}
		open[n%len(open)] = c
	}
	time.Sleep(100 * time.Millisecond)
	b.ReportMetric(float64(inUse()-before)/1024, "KiB-held")
	b.ReportMetric(float64(s.Counters.UnauthenticatedConns.Evicted.Load()), "evicted")
	b.ReportMetric(float64(s.Counters.Denied.Load()), "denied")
	for _, c := range open {
		if c != nil {
			c.Close()
		}
	}
}

// inUse returns the bytes of heap and stacks in use, including those of the sender in this process.
func inUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
