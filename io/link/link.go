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

	"wagtailhoist/core/budget"
	"wagtailhoist/io/intake"
)

const (
	// Protocol is the version of the frame formats; links to processes of other versions are refused.
	Protocol = 1
	// Path is the HTTP path at which a process accepts links.
	Path = "/link"
	// minPingInterval is the shortest ping interval. The interval is otherwise half of the silence timeout, so
	// that one late frame does not end a link.
	minPingInterval = time.Second
	// pingAlignment aligns the pings of all links of a process, so that they share wake-ups.
	pingAlignment = 100 * time.Millisecond
	// SilenceTimeout is the default time without received bytes after which a link is closed.
	SilenceTimeout = 3 * time.Second
	// handshakeTimeout bounds connecting, upgrading and the exchange of Hello.
	handshakeTimeout = 2 * time.Second
	// maxFrameBytes bounds a frame; the largest is an Announce with the records of a region's agents.
	maxFrameBytes = 4 << 20
	// maxHelloBytes bounds the first frame; a Hello has under 500 bytes.
	maxHelloBytes = 4 << 10
)

// ErrToken reports that the link token of one end was refused by the other.
var ErrToken = errors.New("link token refused")

// Counters counts events of all links that share it.
type Counters struct {
	// Malformed counts frames that could not be decoded, Silent links closed because nothing was received in
	// time.
	Malformed, Silent atomic.Uint64
	// NoRoom counts links closed because there was no memory for their frame, Late those whose frame took too long.
	NoRoom, Late atomic.Uint64
	// Denied counts requests for a link without the token, RefusedRecords the records that were refused as invalid or
	// because the sender may not announce them.
	Denied, RefusedRecords atomic.Uint64
	// WithoutHello counts links with the token that ended before a valid Hello, UnauthenticatedConns closed connections that
	// had not authenticated.
	WithoutHello         atomic.Uint64
	UnauthenticatedConns intake.ListenerCounters
	// Sent and Received count the bytes of frames, without WebSocket and TCP headers.
	Sent, Received atomic.Uint64
}

// Settings configures this process's end of its links.
type Settings struct {
	Self  Hello
	Token string
	// Counters may be nil.
	Counters *Counters
	// SilenceTimeout replaces the default silence timeout if it is not 0.
	SilenceTimeout time.Duration
	// Frames bounds the memory of received frames; the links of a process share it. It may be nil.
	Frames *FrameBudget
}

// Link is a connection to another process. Send may be called by several goroutines at once, Receive by
// one.
type Link struct {
	ws             *websocket.Conn
	peer           Hello
	counters       *Counters
	silenceTimeout time.Duration
	frames         *FrameBudget
	// frame is the memory of the frame that is being received. Only Receive uses it.
	frame *budget.Body

	writeMu sync.Mutex
	buffer  bytes.Buffer
	// lastSent is when the last frame was sent, in nanoseconds since the Unix epoch.
	lastSent atomic.Int64
	// lastReceived is when a part of a frame was last received, in the same unit.
	lastReceived atomic.Int64

	closeOnce sync.Once
	done      chan struct{}
}

// Dial connects to the process that accepts links at address (host:port).
func Dial(ctx context.Context, address string, s Settings) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	dialer := websocket.Dialer{HandshakeTimeout: handshakeTimeout, ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10}
	header := http.Header{"Authorization": {"Bearer " + s.Token}}
	ws, resp, err := dialer.DialContext(ctx, "ws://"+address+Path, header)
	if resp != nil && resp.StatusCode == http.StatusUnauthorized {
		return nil, ErrToken
	}
	if err != nil {
		return nil, errors.Wrapf(err, "dial link %s", address)
	}
	l := newLink(ws, s)
	if err := l.exchangeHello(s.Self); err != nil {
		return nil, errors.Wrapf(err, "dial link %s", address)
	}
	return l, nil
}

var upgrader = websocket.Upgrader{HandshakeTimeout: handshakeTimeout, ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10}

// Accept upgrades a request of another process to a link. On an error the request has been answered.
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
	if err := l.exchangeHello(s.Self); err != nil {
		return nil, errors.Wrap(err, "accept link")
	}
	return l, nil
}

// newLink wraps a WebSocket connection whose Hello has not been exchanged, so the read limit is that of a
// Hello.
func newLink(ws *websocket.Conn, s Settings) *Link {
	l := &Link{ws: ws, counters: s.Counters, silenceTimeout: s.SilenceTimeout, frames: s.Frames, done: make(chan struct{})}
	if l.counters == nil {
		l.counters = new(Counters)
	}
	if l.silenceTimeout == 0 {
		l.silenceTimeout = SilenceTimeout
	}
	ws.SetReadLimit(maxHelloBytes)
	return l
}

// exchangeHello sends this process's Hello, receives the peer's and starts the heartbeat.
func (l *Link) exchangeHello(self Hello) error {
	self.Protocol = Protocol
	if err := l.Send(self); err != nil {
		return err
	}
	f, err := l.receiveFrame(handshakeTimeout)
	if err != nil {
		l.counters.WithoutHello.Add(1)
		l.Close()
		return err
	}
	hello, ok := f.(Hello)
	if !ok || hello.Protocol != Protocol {
		l.counters.WithoutHello.Add(1)
		l.Close()
		return fmt.Errorf("peer sent frame kind %d of protocol %d instead of a Hello of protocol %d", f.Kind(), hello.Protocol, Protocol)
	}
	l.peer = hello
	l.lastReceived.Store(time.Now().UnixNano())
	l.ws.SetReadLimit(maxFrameBytes)
	intake.MarkConnAuthenticated(l.ws.NetConn())
	go l.heartbeat()
	return nil
}

// Peer returns the other end's Hello.
func (l *Link) Peer() Hello { return l.peer }

// Done is closed when the link is closed.
func (l *Link) Done() <-chan struct{} { return l.done }

// Silent reports whether nothing was received for the silence timeout. After a pause of this process, a
// link may be silent that Receive has not closed yet; a frame sent on it is most likely lost.
func (l *Link) Silent(now time.Time) bool {
	return now.Sub(time.Unix(0, l.lastReceived.Load())) > l.silenceTimeout
}

// Close closes the connection; a Send or Receive in progress returns an error.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		l.ws.Close()
	})
}

// Send writes a frame. If writing fails, the link is closed and the peer may or may not have received the
// frame. A frame that is too long is not sent, and the link stays open.
func (l *Link) Send(f Frame) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.buffer.Reset()
	if err := Encode(&l.buffer, f); err != nil {
		return errors.Wrapf(err, "encode frame of kind %d", f.Kind())
	}
	if l.buffer.Len() > maxFrameBytes {
		return fmt.Errorf("frame of kind %d has %d bytes, more than the limit of %d", f.Kind(), l.buffer.Len(), maxFrameBytes)
	}
	_ = l.ws.SetWriteDeadline(time.Now().Add(l.silenceTimeout))
	if err := l.ws.WriteMessage(websocket.BinaryMessage, l.buffer.Bytes()); err != nil {
		l.Close()
		return errors.Wrapf(err, "send frame of kind %d", f.Kind())
	}
	l.counters.Sent.Add(uint64(l.buffer.Len()))
	l.lastSent.Store(time.Now().UnixNano())
	return nil
}

// Receive returns the next frame other than a heartbeat. After an error the link is closed.
func (l *Link) Receive() (Frame, error) {
	for {
		f, err := l.receiveFrame(l.silenceTimeout)
		if err != nil {
			l.Close()
			return nil, err
		}
		if _, ok := f.(Ping); !ok {
			return f, nil
		}
	}
}

// receiveFrame reads and decodes the next frame, and counts silent peers and malformed frames.
func (l *Link) receiveFrame(maxSilence time.Duration) (Frame, error) {
	// The buffer is in memory until the frame is decoded.
	defer l.frames.release(l)
	b, err := l.readMessage(maxSilence)
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			l.counters.Silent.Add(1)
		}
		if errors.Is(err, websocket.ErrReadLimit) {
			l.counters.Malformed.Add(1)
		}
		return nil, err
	}
	l.counters.Received.Add(uint64(len(b)))
	f, err := Decode(b)
	if err != nil {
		l.counters.Malformed.Add(1)
	}
	return f, err
}

// readMessage returns the next binary message. Each received part extends the deadline, so that a long
// frame on a slow link does not count as silence.
func (l *Link) readMessage(maxSilence time.Duration) ([]byte, error) {
	_ = l.ws.SetReadDeadline(time.Now().Add(maxSilence))
	kind, r, err := l.ws.NextReader()
	if err != nil {
		return nil, err
	}
	if kind != websocket.BinaryMessage {
		l.counters.Malformed.Add(1)
		return nil, &MalformedError{Cause: fmt.Errorf("message is text, not binary")}
	}
	begun := time.Now()
	var buf []byte
	for partEnd := framePart; ; partEnd = len(buf) + framePart {
		if buf, err = l.readPart(r, buf, partEnd); err != nil {
			l.lastReceived.Store(time.Now().UnixNano())
			if err == io.EOF {
				return buf, nil
			}
			return nil, err
		}
		now := time.Now()
		l.lastReceived.Store(now.UnixNano())
		if now.Sub(begun) > maxFrameTime {
			l.counters.Late.Add(1)
			return nil, errFrameLate
		}
		if err := l.frames.hold(l, int64(cap(buf))); err != nil {
			return nil, err
		}
		_ = l.ws.SetReadDeadline(now.Add(maxSilence))
	}
}

// readPart appends to buf until it has at least end bytes. The buffer holds its memory of the budget before it grows.
func (l *Link) readPart(r io.Reader, buf []byte, end int) ([]byte, error) {
	for len(buf) < end {
		if len(buf) > maxFrameBytes {
			return buf, websocket.ErrReadLimit
		}
		if len(buf) == cap(buf) {
			// With a byte beyond the largest frame there is room for a read that returns its end.
			size := max(firstFrameBuffer, min(2*cap(buf), maxFrameBytes+1))
			if err := l.frames.hold(l, int64(size)); err != nil {
				return buf, err
			}
			grown := make([]byte, len(buf), size)
			copy(grown, buf)
			buf = grown
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// heartbeat sends a ping whenever no other frame was sent for the ping interval, until the link is closed.
// It does not depend on received frames, so that each end detects the silence of the other on its own.
func (l *Link) heartbeat() {
	pingInterval := max(l.silenceTimeout/2, minPingInterval)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-timer.C:
		}
		due := time.Unix(0, l.lastSent.Load()).Add(pingInterval).Truncate(pingAlignment)
		if !time.Now().Before(due) {
			if l.Send(Ping{}) != nil {
				return
			}
			due = time.Now().Add(pingInterval).Truncate(pingAlignment)
		}
		timer.Reset(time.Until(due))
	}
}
