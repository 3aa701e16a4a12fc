package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxChunkBytes is the size of the read buffer.
	maxChunkBytes = 16 << 10
	// maxQueuedChunks bounds the chunks read but not yet written in one direction.
	maxQueuedChunks = 256
)

// pair is one relayed connection: from the client to the relay, and from the relay to the target server.
type pair struct {
	relay          *Relay
	client, server net.Conn
	// silent means that the connections stay open while all further bytes are read and discarded; it is never reset.
	silent    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

func (p *pair) close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		_ = p.client.Close()
		_ = p.server.Close()
	})
}

type chunk struct {
	data []byte
	due  time.Time
	last bool
}

// copyDirection copies the bytes of one direction until it ends. The reader and the writer are decoupled by a queue, so that
// the delay does not reduce the throughput.
func (p *pair) copyDirection(from, to net.Conn, byteCount *atomic.Int64, towardsClient bool) {
	queue := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		for {
			data := make([]byte, maxChunkBytes)
			n, err := from.Read(data)
			due := time.Now().Add(p.relay.settings.Load().delay)
			if n > 0 && !p.enqueue(queue, chunk{data: data[:n], due: due}) {
				return
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					p.close()
				}
				p.enqueue(queue, chunk{due: due, last: true})
				return
			}
		}
	}()
	for {
		select {
		case <-p.closed:
			return
		case next, ok := <-queue:
			if !ok {
				return
			}
			if !p.forward(to, next, byteCount, towardsClient) {
				return
			}
		}
	}
}

func (p *pair) enqueue(queue chan<- chunk, next chunk) bool {
	select {
	case queue <- next:
		return true
	case <-p.closed:
		return false
	}
}

// forward writes a chunk once it is due and no fault holds it back. It returns false if the direction has ended.
func (p *pair) forward(to net.Conn, next chunk, byteCount *atomic.Int64, towardsClient bool) bool {
	if !p.sleep(time.Until(next.due)) {
		return false
	}
	for {
		settings := p.relay.settings.Load()
		if !settings.hold {
			break
		}
		select {
		case <-settings.changed:
		case <-p.closed:
			return false
		}
	}
	settings := p.relay.settings.Load()
	if p.silent.Load() || settings.loseAnswers && towardsClient {
		return true
	}
	if next.last {
		if half, ok := to.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		} else {
			p.close()
		}
		return false
	}
	if settings.rate > 0 && !p.sleep(time.Duration(len(next.data))*time.Second/time.Duration(settings.rate)) {
		return false
	}
	if _, err := to.Write(next.data); err != nil {
		p.close()
		return false
	}
	byteCount.Add(int64(len(next.data)))
	return true
}

func (p *pair) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.closed:
		return false
	}
}
