package proof

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/websocket"

	"wagtailhoist/core/model"
	"wagtailhoist/io/admin"
	"wagtailhoist/io/front"
	"wagtailhoist/io/link"
)

// connMemory is the memory of a connection besides its request header: buffers of net/http
// (2 x 4 KiB), of the WebSocket (2 x 16 KiB), two stacks (2 x 8 KiB) and the largest Hello (4 KiB), rounded up.
const connMemory = 64 << 10

// agentMemory is the most that they may add to an agent's memory.
const agentMemory = 2 * link.Guests * (link.MaxHeader + 4<<10 + connMemory)

// hostileMemory is the most that unproved connections may add to an entry's memory. The
// collector lets the heap grow to twice what is in use, and net/http reads 4 KiB past MaxHeader.
const hostileMemory = agentMemory + 2*(front.Guests*(front.MaxHeader+4<<10+connMemory)+
	admin.Guests*(admin.MaxHeader+4<<10+connMemory))

// flood opens n connections, sends text on each and holds them open until the test ends.
func flood(t *testing.T, address, text string, n int) {
	t.Helper()
	for range n {
		c, err := net.DialTimeout("tcp", address, 2*time.Second)
		if err != nil {
			t.Errorf("dial %s: %v", address, err)
			return
		}
		t.Cleanup(func() { c.Close() })
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(c, text) // the listener may have closed it
	}
}

// greet opens a WebSocket with the token and sends messages.
func greet(address string, messages ...[]byte) {
	ws, _, err := websocket.DefaultDialer.Dial("ws://"+address+link.Path, http.Header{"Authorization": {"Bearer " + testToken}})
	if err != nil {
		return
	}
	defer ws.Close()
	for _, m := range messages {
		_ = ws.WriteMessage(websocket.BinaryMessage, m)
	}
	_ = ws.SetReadDeadline(time.Now().Add(time.Second))
	for err == nil { // until the peer closes
		_, _, err = ws.ReadMessage()
	}
}

// counted returns a counter of the entry's metrics.
func counted(t *testing.T, e *process, series string) float64 {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, e.url("admin")+"/metrics", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0 // asked again
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), "wagtailhoist_"+series+" "); ok {
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	return 0
}

// Guards against a sender that stops honest callers, fills the entry's memory or goes unnoticed,
// with the link token and without.
func TestHostileSenders(t *testing.T) {
	inLane(t)
	f := newFleet(t, 1, 1)
	e, a := f.entries[0], f.agents[0]
	before, agentBefore := resident(t, e), resident(t, a)
	callers := startLoad("hostile", 4, 3*time.Second, f.entries...)
	broken := func(cause string) string { return fmt.Sprintf(`broken_links_total{cause=%q}`, cause) }
	refused := func(cause string) string { return fmt.Sprintf(`refused_connections_total{cause=%q}`, cause) }
	self := link.Hello{Node: "x1", Incarnation: 1, Role: link.RoleAgent, Region: "west", Centre: "one"}
	now := model.NewIncarnation(time.Now())
	valid := model.Record{ID: "x1", Incarnation: now, Region: "west", Centre: "one", Service: "other", Address: "127.0.0.1:9"}
	announce := func(n int, spoil func(*model.Record)) func() {
		return func() {
			l, err := link.Dial(context.Background(), e.addr("link"), link.Settings{Self: self, Token: testToken})
			if err != nil {
				t.Errorf("link with the token: %v", err)
				return
			}
			defer l.Close()
			for k := range n {
				r := valid
				r.Sequence = uint64(k + 1)
				spoil(&r)
				if l.Send(link.Announce{Records: []model.Record{r}}) != nil {
					return
				}
			}
			time.Sleep(200 * time.Millisecond) // a closed link would lose what was not read
		}
	}
	bad := func(spoil func(*model.Record)) func() { return announce(1, spoil) }
	half := "GET / HTTP/1.1\r\nHost: x\r\nX: "
	for _, c := range []struct {
		name   string
		attack func()
		series string
		least  float64
	}{
		{"connections without a word", func() { flood(t, e.addr("link"), "", 2*link.Guests) }, refused("link evicted"), link.Guests},
		{"agent's connections without a word", func() { flood(t, a.addr("link"), "", 2*link.Guests) }, "", 0},
		{"wrong token, kept open", func() {
			flood(t, e.addr("link"), "GET /link HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer x\r\n\r\n", link.Guests)
		}, broken("denied"), link.Guests},
		{"refused request, body held back", func() {
			flood(t, e.addr("link"), "POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n", 2*link.Guests)
		}, refused("link evicted"), 1},
		{"no hello", func() { greet(e.addr("link")) }, broken("no hello"), 1},
		{"malformed hello", func() { greet(e.addr("link"), []byte{1, 0xff}) }, broken("malformed"), 1},
		{"oversized hello", func() { greet(e.addr("link"), make([]byte, 5<<20)) }, broken("malformed"), 1},
		{"huge identifier", bad(func(r *model.Record) { r.ID = model.NodeID(strings.Repeat("x", 1<<20)) }), refusedRecords, 1},
		{"another's identifier", bad(func(r *model.Record) { r.ID = "agent-0" }), refusedRecords, 1},
		{"future incarnation", bad(func(r *model.Record) { r.Incarnation = 1<<64 - 1 }), refusedRecords, 1},
		{"negative slots", bad(func(r *model.Record) { r.Load.Slots = -1 << 40 }), refusedRecords, 1},
		{"no address", bad(func(r *model.Record) { r.Address = "nowhere" }), refusedRecords, 1},
		{"flood of records", announce(20_000, func(*model.Record) {}), refusedRecords, 10_000},
		{"callers' half headers", func() { flood(t, e.addr("listen"), half+strings.Repeat("x", 30<<10), 2*front.Guests) }, refused("caller evicted"), 1},
		{"callers' whole connections, idle", func() {
			flood(t, e.addr("listen"), "GET /x HTTP/1.1\r\nHost: x\r\nWagtailhoist-Timeout: x\r\n\r\n", front.Guests)
		}, refused("caller evicted"), 1},
		{"callers' bodies held back", func() {
			flood(t, e.addr("listen"), "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 16777216\r\n\r\n", 2*front.Guests)
		}, refused("caller evicted"), front.Guests},
		{"operators' half headers", func() { flood(t, e.addr("admin"), half, 4*admin.Guests) }, refused("operator evicted"), 1},
		{"operators without the token", func() {
			flood(t, e.addr("admin"), "GET /status HTTP/1.1\r\nHost: x\r\n\r\n", 10)
		}, `refused_calls_total{cause="denied"}`, 10},
	} {
		start := 0.0
		if c.series != "" {
			start = counted(t, e, c.series)
		}
		c.attack()
		if c.series != "" {
			eventually(t, 10*time.Second, c.name+": refusals are counted", func() bool {
				time.Sleep(200 * time.Millisecond) // calls of operators are limited in rate
				return counted(t, e, c.series)-start >= c.least
			})
		}
		if got := resident(t, e) - before; got > hostileMemory {
			t.Errorf("%s: the entry's memory grew by %.0f bytes, want at most %d", c.name, got, hostileMemory)
		}
	}
	if got := resident(t, a) - agentBefore; got > agentMemory {
		t.Errorf("the agent's memory grew by %.0f bytes, want at most %d", got, agentMemory)
	}
	eventually(t, 15*time.Second, "the agent logs refusals", func() bool { return len(a.lines("senders refused")) > 0 })
	// A caller sees a broken connection only if the entry evicted it between two requests.
	results := callers.finish()
	checkWhole(t, results, false)
	checkRuns(t, results, f.ran())
	if got := outcomes(results); got["answered"] < len(results)*99/100 || len(results) < 100 {
		t.Errorf("honest callers: got %v, want at least 99%% answered", got)
	}
	t.Logf("memory grew by %.1f MiB, bound %d MiB; callers %v", (resident(t, e)-before)/(1<<20), hostileMemory>>20, outcomes(results))
}

const refusedRecords = `refused_records_total{kind="record"}`
