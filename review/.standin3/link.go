package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"wagtailhoist/platform/fakes"
)

const (
	// pageBytes and pageItems bound a page of the store's lists.
	pageBytes, pageItems = 1_000_000, 500
	// slowLinkBytes is what a link of 10 Mbit/s carries in a second.
	slowLinkBytes = 10_000_000 / 8
	// linkJobs are handed in, one each linkPause; their specs have some 3,950 bytes.
	linkJobs  = 260
	linkPause = 200 * time.Millisecond
	// lastJobs are asked for at the end.
	lastJobs = 12
	// downDesks is how long the killed desks are down, recoveryTime the bound for the time until requests are served again.
	downDesks, recoveryTime = time.Second, 15 * time.Second
)

// rate bounds the bytes that pass in a second.
type rate struct {
	mu   sync.Mutex
	next time.Time
}

// wait returns once n more bytes may pass.
func (r *rate) wait(n int) {
	r.mu.Lock()
	if now := time.Now(); r.next.Before(now) {
		r.next = now
	}
	r.next = r.next.Add(time.Duration(n) * time.Second / slowLinkBytes)
	at := r.next
	r.mu.Unlock()
	time.Sleep(time.Until(at))
}

// slowLink returns an address that leads to the target over a link of 10 Mbit/s each way, for all connections together.
func slowLink(target string) (string, error) {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return "", err
	}
	var down, up rate
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				t, err := net.Dial("tcp", target)
				if err != nil {
					c.Close()
					return
				}
				go pass(c, t, &down)
				pass(t, c, &up)
			}()
		}
	}()
	return l.Addr().String(), nil
}

// pass copies what arrives to another connection at the rate of a link.
func pass(to, from net.Conn, r *rate) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			r.wait(n)
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	to.Close()
	from.Close()
}

// servePage answers a list of the store with at most 500 items or 1 MB of values.
func (l *limitedStore) servePage(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page, size, more, revision := []fakes.Item{}, 0, false, uint64(0)
	for _, item := range l.sys.store.Items("") {
		revision = max(revision, item.Revision)
	}
	for _, item := range l.sys.store.Items(query.Get("prefix")) {
		if item.Key <= query.Get("after") {
			continue
		}
		if len(page) == pageItems || len(page) > 0 && size+len(item.Value) > pageBytes {
			more = true
			break
		}
		page, size = append(page, item), size+len(item.Value)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": page, "hasMore": more, "asOf": revision})
}

// playLink hands in jobs at a pace at which records of over 1 MB are stored, and then kills all desks at once. Further jobs follow, and the rule
// LOST is judged finishTime after the last one.
func playLink(s *system, trouble bool) int {
	small := func(int) *job {
		j := ordinary(&queues[1])
		j.work.Millis, j.step.Count, j.step.GPU, j.pad = 500, 1, 0, 3900
		return j
	}
	s.traffic(linkJobs*linkPause, linkPause, small)
	s.watch(2*time.Second, false)
	bytes := 0
	for _, item := range s.store.Items("wh/") {
		bytes += len(item.Value)
	}
	s.record("platform: the store holds %d bytes of records", bytes)
	if trouble {
		for _, p := range s.desks {
			_ = p.cmd.Process.Kill()
			<-p.gone
		}
		s.record("platform: all desks are killed")
		time.Sleep(downDesks)
		for _, p := range s.desks {
			_ = s.startProcess(p)
		}
	}
	s.watch(recoveryTime, false)
	s.traffic(5*time.Second, time.Second, small)
	s.watch(finishTime, false)
	s.watch(6*time.Second, true)
	for _, p := range s.desks {
		ready := 0
		if resp, err := s.client.Get("http://" + p.ready + "/readiness"); err == nil {
			ready = resp.StatusCode
			resp.Body.Close()
		}
		s.record("end: %s answers %d to the question whether it is ready", p.name, ready)
	}
	s.mu.Lock()
	s.list = s.list[max(0, len(s.list)-lastJobs):]
	s.mu.Unlock()
	return s.verdict()
}
