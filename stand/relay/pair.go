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
	// chunk is the largest piece passed at a time, in bytes.
	chunk = 16 << 10
	// window is the number of pieces that may be on their way in one direction.
	window = 256
)

// pair is one relayed connection.
type pair struct {
	relay     *Relay
	near, far net.Conn
	// silent connections stay open and pass no more bytes; what they read is dropped, so they never recover.
	silent atomic.Bool
	once   sync.Once
	ended  chan struct{}
}

func (p *pair) close() {
	p.once.Do(func() {
		close(p.ended)
		_ = p.near.Close()
		_ = p.far.Close()
	})
}

type piece struct {
	data []byte
	due  time.Time
	last bool
}

// pass copies one direction. A reader and a writer with a queue between them keep the delay free of
// influence on the throughput.
func (p *pair) pass(from, to net.Conn, bytes *atomic.Int64, answers bool) {
	queue := make(chan piece, window)
	go func() {
		defer close(queue)
		for {
			data := make([]byte, chunk)
			n, err := from.Read(data)
			due := time.Now().Add(p.relay.now.Load().delay)
			if n > 0 && !p.send(queue, piece{data: data[:n], due: due}) {
				return
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					p.close()
				}
				p.send(queue, piece{due: due, last: true})
				return
			}
		}
	}()
	for {
		select {
		case <-p.ended:
			return
		case next, ok := <-queue:
			if !ok {
				return
			}
			if !p.forward(to, next, bytes, answers) {
				return
			}
		}
	}
}

func (p *pair) send(queue chan<- piece, next piece) bool {
	select {
	case queue <- next:
		return true
	case <-p.ended:
		return false
	}
}

// forward writes one piece when it is due and the faults allow it; false means that the direction has ended.
func (p *pair) forward(to net.Conn, next piece, bytes *atomic.Int64, answers bool) bool {
	if !p.sleep(time.Until(next.due)) {
		return false
	}
	for {
		now := p.relay.now.Load()
		if !now.hold {
			break
		}
		select {
		case <-now.changed:
		case <-p.ended:
			return false
		}
	}
	now := p.relay.now.Load()
	if p.silent.Load() || now.lost && answers {
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
	if now.rate > 0 && !p.sleep(time.Duration(len(next.data))*time.Second/time.Duration(now.rate)) {
		return false
	}
	if _, err := to.Write(next.data); err != nil {
		p.close()
		return false
	}
	bytes.Add(int64(len(next.data)))
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
	case <-p.ended:
		return false
	}
}
