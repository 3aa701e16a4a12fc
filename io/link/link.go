package link

import (
	"bytes"
	"context"
	"crypto/subtle"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"
)

const (
	// Protocol is the version of the frames; processes of other versions are refused.
	Protocol = 1
	// Path is where a process accepts links.
	Path = "/link"
	// minBeat is the least time between two frames of a direction; it is otherwise half of the
	// silence, so that one late frame doesn't end a link.
	minBeat = time.Second
	// beatGrid aligns the pings of all links of a process, so that they share wake-ups.
	beatGrid = 100 * time.Millisecond
	// Silence is the time without any received byte after which a link is given up.
	Silence = 3 * time.Second
	// handshake bounds connecting, upgrading and the exchange of Hello.
	handshake = 2 * time.Second
	// limit is the largest frame in bytes: an Announce with the records of a region's agents.
	limit = 4 << 20
	// helloLimit is the largest first frame in bytes; a Hello has under 500.
	helloLimit = 4 << 10
)

// ErrToken reports a peer that refused the link token.
var ErrToken = errors.New("link token refused")

// Counters counts events on all links that share it.
type Counters struct {
	// Malformed counts frames that could not be decoded, Silent links given up without a received byte.
	Malformed, Silent atomic.Uint64
	// Denied counts requests for a link without the token, Records the records that were refused
	// as invalid or because the sender may not announce them.
	Denied, Records atomic.Uint64
	// Ungreeted counts links with the token that ended before a valid Hello, Guests other connections.
	Ungreeted atomic.Uint64
	Guests    GuestCounters
	// Sent and Received count the bytes of frames, without WebSocket and TCP headers.
	Sent, Received atomic.Uint64
}

// Settings describe this process's end of its links.
type Settings struct {
	Self  Hello
	Token string
	// Counters may be nil.
	Counters *Counters
	// Silence replaces the default if it is not 0.
	Silence time.Duration
}

// Link is a connection to another process. Send may be called by many goroutines, Receive by one.
type Link struct {
	ws      *websocket.Conn
	peer    Hello
	count   *Counters
	silence time.Duration

	write  sync.Mutex
	buffer bytes.Buffer
	// sent is when the last frame was sent, in nanoseconds since the Unix epoch.
	sent atomic.Int64
	// heard is when a part of a frame was last received, in the same unit.
	heard atomic.Int64

	once sync.Once
	done chan struct{}
}

// Dial connects to the process that accepts links at address (host:port).
func Dial(ctx context.Context, address string, s Settings) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshake)
	defer cancel()
	dialer := websocket.Dialer{HandshakeTimeout: handshake, ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10}
	header := http.Header{"Authorization": {"Bearer " + s.Token}}
	ws, resp, err := dialer.DialContext(ctx, "ws://"+address+Path, header)
	if resp != nil && resp.StatusCode == http.StatusUnauthorized {
		return nil, ErrToken
	}
	if err != nil {
		return nil, errors.Wrapf(err, "dial link %s", address)
	}
	l := newLink(ws, s)
	if err := l.greet(s.Self); err != nil {
		return nil, errors.Wrapf(err, "dial link %s", address)
	}
	return l, nil
}

var upgrader = websocket.Upgrader{HandshakeTimeout: handshake, ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10}

// Accept upgrades a request of another process to a link; on an error it has answered the request.
func Accept(w http.ResponseWriter, r *http.Request, s Settings) (*Link, error) {
	want := "Bearer " + s.Token
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
		if s.Counters != nil {
			s.Counters.Denied.Add(1)
		}
		w.Header().Set("Connection", "close")
		http.Error(w, "link token refused", http.StatusUnauthorized)
		return nil, ErrToken
	}
	ws, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return nil, errors.Wrap(err, "accept link")
	}
	l := newLink(ws, s)
	if err := l.greet(s.Self); err != nil {
		return nil, errors.Wrap(err, "accept link")
	}
	return l, nil
}

func newLink(ws *websocket.Conn, s Settings) *Link {
	l := &Link{ws: ws, count: s.Counters, silence: s.Silence, done: make(chan struct{})}
	if l.count == nil {
		l.count = new(Counters)
	}
	if l.silence == 0 {
		l.silence = Silence
	}
	ws.SetReadLimit(helloLimit)
	return l
}

// greet exchanges Hello and starts the heartbeat.
func (l *Link) greet(self Hello) error {
	self.Protocol = Protocol
	if err := l.Send(self); err != nil {
		return err
	}
	f, err := l.receive(handshake)
	if err != nil {
		l.count.Ungreeted.Add(1)
		l.Close()
		return err
	}
	hello, ok := f.(Hello)
	if !ok || hello.Protocol != Protocol {
		l.count.Ungreeted.Add(1)
		l.Close()
		return fmt.Errorf("got frame %d of protocol %d instead of a hello of protocol %d", f.Kind(), hello.Protocol, Protocol)
	}
	l.peer = hello
	l.heard.Store(time.Now().UnixNano())
	l.ws.SetReadLimit(limit)
	if c, ok := l.ws.NetConn().(*guestConn); ok {
		c.admit()
	}
	go l.beat()
	return nil
}

// Peer returns the other end's Hello.
func (l *Link) Peer() Hello { return l.peer }

// Done is closed when the link is closed.
func (l *Link) Done() <-chan struct{} { return l.done }

// Silent reports whether nothing was received for the limit of silence. In a process that was paused a
// link may be silent that Receive has not yet closed; what is sent on it is most likely lost.
func (l *Link) Silent(now time.Time) bool { return now.Sub(time.Unix(0, l.heard.Load())) > l.silence }

// Close closes the connection; a Send or Receive in progress returns an error.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.done)
		l.ws.Close()
	})
}

// Send writes a frame. After an error the link is closed, and the peer may or may not have received the frame.
func (l *Link) Send(f Frame) error {
	l.write.Lock()
	defer l.write.Unlock()
	l.buffer.Reset()
	if err := Encode(&l.buffer, f); err != nil {
		return errors.Wrapf(err, "encode frame %d", f.Kind())
	}
	if l.buffer.Len() > limit {
		return fmt.Errorf("frame %d has %d bytes, more than %d", f.Kind(), l.buffer.Len(), limit)
	}
	_ = l.ws.SetWriteDeadline(time.Now().Add(l.silence))
	if err := l.ws.WriteMessage(websocket.BinaryMessage, l.buffer.Bytes()); err != nil {
		l.Close()
		return errors.Wrapf(err, "send frame %d", f.Kind())
	}
	l.count.Sent.Add(uint64(l.buffer.Len()))
	l.sent.Store(time.Now().UnixNano())
	return nil
}

// Receive returns the next frame other than a heartbeat. After an error the link is closed.
func (l *Link) Receive() (Frame, error) {
	for {
		f, err := l.receive(l.silence)
		if err != nil {
			l.Close()
			return nil, err
		}
		if _, ok := f.(Ping); !ok {
			return f, nil
		}
	}
}

func (l *Link) receive(silence time.Duration) (Frame, error) {
	b, err := l.read(silence)
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			l.count.Silent.Add(1)
		}
		if errors.Is(err, websocket.ErrReadLimit) {
			l.count.Malformed.Add(1)
		}
		return nil, err
	}
	l.count.Received.Add(uint64(len(b)))
	f, err := Decode(b)
	if err != nil {
		l.count.Malformed.Add(1)
	}
	return f, err
}

// read returns the next binary message. Each received part extends the deadline, so that
// a long frame on a narrow link does not count as silence.
func (l *Link) read(silence time.Duration) ([]byte, error) {
	_ = l.ws.SetReadDeadline(time.Now().Add(silence))
	kind, r, err := l.ws.NextReader()
	if err != nil {
		return nil, err
	}
	if kind != websocket.BinaryMessage {
		l.count.Malformed.Add(1)
		return nil, &MalformedError{Cause: fmt.Errorf("text message")}
	}
	var buf bytes.Buffer
	for {
		_, err := io.CopyN(&buf, r, 16<<10)
		l.heard.Store(time.Now().UnixNano())
		if err == io.EOF {
			return buf.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		_ = l.ws.SetReadDeadline(time.Now().Add(silence))
	}
}

// beat sends pings until the link is closed, unless other frames leave often enough: links that
// carry announcements need no pings. It does not depend on received frames, so that each
// direction of a link is watched on its own.
func (l *Link) beat() {
	beat := max(l.silence/2, minBeat)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-wake.C:
		}
		due := time.Unix(0, l.sent.Load()).Add(beat).Truncate(beatGrid)
		if !time.Now().Before(due) {
			if l.Send(Ping{}) != nil {
				return
			}
			due = time.Now().Add(beat).Truncate(beatGrid)
		}
		wake.Reset(time.Until(due))
	}
}
