package link

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/websocket"

	"wagtailhoist/core/config"
	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
)

// listen accepts links and sends them to the returned channel.
func listen(t *testing.T, s Settings) (string, <-chan *Link) {
	t.Helper()
	links := make(chan *Link, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l, err := Accept(w, r, s); err == nil {
			links <- l
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), links
}

// pair returns both ends of a new link, the dialling one first.
func pair(t *testing.T, s Settings) (*Link, *Link) {
	t.Helper()
	address, links := listen(t, s)
	near, err := Dial(context.Background(), address, s)
	if err != nil {
		t.Fatal(err)
	}
	far := <-links
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// A frame type that is missing from the decoders, or a field that is encoded wrongly, would close links or
// lose data.
func TestFramesArrive(t *testing.T) {
	near, far := pair(t, Settings{Token: "t", Self: Hello{Node: "n", Role: RoleEntry}})
	if got, want := far.Peer().Node, model.NodeID("n"); got != want {
		t.Errorf("peer: got %q, want %q", got, want)
	}
	a := model.Attempt{Entry: 1, Sequence: 2}
	when := time.UnixMilli(1_700_000_000_123)
	for _, f := range []Frame{
		Announce{Records: []model.Record{{ID: "a", Incarnation: 3, State: model.Draining}}, Lost: []member.Loss{{ID: "b", Incarnation: 1, Sequence: 2}}},
		EntryList{[]Entry{{"e", "r", "127.0.0.1:1"}}, 4},
		Begin{Attempt: a, Deadline: when, Method: "POST", Path: "/", Header: map[string][]string{"A": {"b"}}, Length: 1, Body: []byte("x")},
		Data{a, 5, []byte("y")},
		Accepted{a, model.Load{Running: 1, Slots: 8}},
		Refuse{a, "full", model.Load{}, 4},
		Answer{Attempt: a, Status: 200, Length: 1, Sum: 9, Body: []byte("z")},
		Fail{a, true, "broken", model.Load{}},
		Fence{a, 3, when},
		Fenced{a, 2},
		Attach{a},
		Done{a},
		Config{Message: config.Message{Highest: 7, Age: -1}, Document: []byte("d")},
	} {
		if err := near.Send(f); err != nil {
			t.Fatal(err)
		}
		got, err := far.Receive()
		if err != nil {
			t.Fatalf("frame %d: %v", f.Kind(), err)
		}
		// Times travel in microseconds, and their time zones may differ.
		if b, ok := got.(Begin); ok && b.Deadline.Sub(when).Abs() < time.Microsecond {
			b.Deadline = when
			got = b
		}
		if b, ok := got.(Fence); ok && b.Deadline.Sub(when).Abs() < time.Microsecond {
			b.Deadline = when
			got = b
		}
		if !reflect.DeepEqual(got, f) {
			t.Errorf("frame %d: got %+v, want %+v", f.Kind(), got, f)
		}
	}
}

// A malformed frame must close the link of its sender only, and must not crash the receiver.
func TestMalformedFrameClosesOnlyItsLink(t *testing.T) {
	for _, tc := range []struct {
		name string
		kind int
		data []byte
	}{
		{"unknown kind", websocket.BinaryMessage, []byte{200, 0xa0}},
		{"empty", websocket.BinaryMessage, nil},
		{"not CBOR", websocket.BinaryMessage, []byte{byte(KindBegin), 0xff}},
		{"wrong type", websocket.BinaryMessage, []byte{byte(KindBegin), 0x01}},
		{"bytes after the frame", websocket.BinaryMessage, []byte{byte(KindPing), 0xa0, 0xa0}},
		{"nested", websocket.BinaryMessage, append([]byte{byte(KindBegin)}, bytes.Repeat([]byte{0x81}, 100)...)},
		{"text", websocket.TextMessage, []byte("{}")},
		{"too long", websocket.BinaryMessage, make([]byte, maxFrameBytes+1)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := Settings{Token: "t", Counters: new(Counters)}
			address, links := listen(t, s)
			bad, err := Dial(context.Background(), address, s)
			if err != nil {
				t.Fatal(err)
			}
			defer bad.Close()
			badFar := <-links
			good, err := Dial(context.Background(), address, s)
			if err != nil {
				t.Fatal(err)
			}
			defer good.Close()
			goodFar := <-links
			written := make(chan struct{})
			go func() { // a long message does not fit the buffers of the connection
				defer close(written)
				bad.writeMu.Lock()
				defer bad.writeMu.Unlock()
				_ = bad.ws.WriteMessage(tc.kind, tc.data)
			}()
			if f, err := badFar.Receive(); err == nil {
				t.Fatalf("Receive: got %+v, want an error", f)
			}
			select {
			case <-badFar.Done():
			default:
				t.Error("the link is still open")
			}
			<-written
			if got, want := s.Counters.Malformed.Load(), uint64(1); got != want {
				t.Errorf("malformed frames: got %d, want %d", got, want)
			}
			if err := good.Send(Done{}); err != nil {
				t.Fatal(err)
			}
			if _, err := goodFar.Receive(); err != nil {
				t.Errorf("other link: %v", err)
			}
		})
	}
}

// A broken connection may stay open for ever without delivering anything.
func TestSilentLinkIsClosed(t *testing.T) {
	s := Settings{Token: "t", Counters: new(Counters), SilenceTimeout: 200 * time.Millisecond}
	near, _ := pair(t, s) // the least interval of pings, 1 s, is longer than this timeout
	start := time.Now()
	if _, err := near.Receive(); err == nil {
		t.Fatal("Receive: got a frame, want an error")
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("silent link closed after %v, want about 200ms", took)
	}
	if got, want := s.Counters.Silent.Load(), uint64(1); got != want {
		t.Errorf("silent links: got %d, want %d", got, want)
	}
}

// Without heartbeats, an idle link would be closed as a silent one.
func TestHeartbeatsKeepIdleLink(t *testing.T) {
	for _, silence := range []time.Duration{1500 * time.Millisecond, SilenceTimeout} {
		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()
			near, far := pair(t, Settings{Token: "t", SilenceTimeout: silence})
			time.AfterFunc(2*silence, func() { _ = far.Send(Done{}) })
			if _, err := near.Receive(); err != nil {
				t.Errorf("Receive: %v", err)
			}
		})
	}
}

// A process with a wrong token must not get a link.
func TestTokenIsChecked(t *testing.T) {
	address, _ := listen(t, Settings{Token: "right"})
	if _, err := Dial(context.Background(), address, Settings{Token: "wrong"}); !errors.Is(err, ErrToken) {
		t.Errorf("Dial: got %v, want %v", err, ErrToken)
	}
}

// Without a bound, senders without the token could exhaust the connections of a process.
func TestUnauthenticatedConnectionsAreBounded(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Settings{Token: "t", Counters: new(Counters)}
	links := make(chan *Link, 8)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l, err := Accept(w, r, s); err == nil {
			links <- l
		}
	})}
	go func() { _ = server.Serve(Listen(inner, 2, &s.Counters.UnauthenticatedConns)) }()
	defer server.Close()
	address := inner.Addr().String()
	for range 3 { // authenticated links do not count
		l, err := Dial(context.Background(), address, s)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		defer (<-links).Close()
	}
	var unauthenticated []net.Conn
	for range 4 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		unauthenticated = append(unauthenticated, c)
	}
	closed := func(c net.Conn, wait time.Duration) bool {
		_ = c.SetReadDeadline(time.Now().Add(wait))
		_, err := c.Read(make([]byte, 1))
		var timeout net.Error
		return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
	}
	for n, want := range []bool{true, true, false, false} {
		wait := 2 * time.Second
		if !want {
			wait = 100 * time.Millisecond
		}
		if got := closed(unauthenticated[n], wait); got != want {
			t.Errorf("unauthenticated connection %d of 4 with a bound of 2: got closed %v, want %v", n, got, want)
		}
	}
	if got := s.Counters.UnauthenticatedConns.Evicted.Load(); got != 2 {
		t.Errorf("evicted connections: got %d, want 2", got)
	}
	// A link must be possible while unauthenticated connections fill the bound.
	if l, err := Dial(context.Background(), address, s); err != nil {
		t.Errorf("link while unauthenticated connections fill the bound: %v", err)
	} else {
		l.Close()
		(<-links).Close()
	}
}

// A sender without a valid Hello must be refused and counted, and its first frame must not exceed the size
// of a Hello.
func TestInvalidHandshakesAreCounted(t *testing.T) {
	s := Settings{Token: "t", Counters: new(Counters)}
	address, _ := listen(t, s)
	for _, c := range []struct {
		name, token string
		frame       []byte
		count       *atomic.Uint64
	}{
		{"wrong token", "x", nil, &s.Counters.Denied},
		{"no hello", "t", nil, &s.Counters.WithoutHello},
		{"malformed", "t", []byte{byte(KindHello), 0xff}, &s.Counters.Malformed},
		{"oversized", "t", make([]byte, maxHelloBytes+1), &s.Counters.Malformed},
		{"other frame", "t", []byte{byte(KindPing), 0xa0}, &s.Counters.WithoutHello},
	} {
		before := c.count.Load()
		ws, _, err := websocket.DefaultDialer.Dial("ws://"+address+Path, http.Header{"Authorization": {"Bearer " + c.token}})
		if err == nil {
			defer ws.Close()
			if c.frame != nil {
				_ = ws.WriteMessage(websocket.BinaryMessage, c.frame)
			}
		}
		for deadline := time.Now().Add(2 * handshakeTimeout); c.count.Load() == before && time.Now().Before(deadline); {
			time.Sleep(10 * time.Millisecond)
		}
		if got, want := c.count.Load(), before+1; got != want {
			t.Errorf("%s: counted %d, want %d", c.name, got, want)
		}
	}
}

// A body with lost, reordered or altered parts must not pass as complete.
func TestBodyIsChecked(t *testing.T) {
	a := model.Attempt{Sequence: 1}
	whole := bytes.Repeat([]byte("0123456789abcdef"), 10_000)
	for _, tc := range []struct {
		name  string
		parts []Data
		ok    bool
	}{
		{"whole", []Data{{a, 0, whole[:100_000]}, {a, 100_000, whole[100_000:]}}, true},
		{"altered", []Data{{a, 0, append([]byte("X"), whole[1:]...)}}, false},
		{"gap", []Data{{a, 0, whole[:10]}, {a, 20, whole[20:]}}, false},
		{"repeated part", []Data{{a, 0, whole[:10]}, {a, 0, whole[:10]}}, false},
		{"too long", []Data{{a, 0, append(whole, 'x')}}, false},
		{"empty part", []Data{{a, 0, nil}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, err := NewBody(a, len(whole), Sum(whole), nil)
			for _, p := range tc.parts {
				if err == nil {
					err = b.Add(p)
				}
			}
			if got := err == nil && b.Complete(); got != tc.ok {
				t.Errorf("whole: got %v (%v), want %v", got, err, tc.ok)
			}
		})
	}
	if _, err := NewBody(a, MaxBodyBytes+1, 0, nil); err == nil {
		t.Error("NewBody: a length above the limit was accepted")
	}
}

// A sender that announces a long body and sends little of it must not make the receiver hold the whole length.
func TestBodyTakesWhatHasArrived(t *testing.T) {
	b, err := NewBody(model.Attempt{Sequence: 1}, MaxBodyBytes, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	const part, parts = 10_000, 10
	for i := range parts {
		if err := b.Add(Data{Offset: i * part, Bytes: make([]byte, part)}); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := cap(b.Bytes()), 2*part*parts; got > want {
		t.Errorf("memory of the body: got %d bytes, want at most %d", got, want)
	}
}

// Decode must return a frame or a *MalformedError for any bytes, because the sender may be faulty.
func FuzzDecode(f *testing.F) {
	var buf bytes.Buffer
	if err := Encode(&buf, Begin{Method: "GET", Body: []byte("b")}); err != nil {
		f.Fatal(err)
	}
	f.Add(buf.Bytes())
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := Decode(b)
		var malformed *MalformedError
		if err != nil && !errors.As(err, &malformed) {
			t.Errorf("error: got %T, want *MalformedError", err)
		}
		if err == nil && frame.Kind() != Kind(b[0]) {
			t.Errorf("kind: got %d, want %d", frame.Kind(), b[0])
		}
	})
}
