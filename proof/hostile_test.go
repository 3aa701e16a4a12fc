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

// connectionMemory is the memory of a connection without its request header, in bytes: buffers of net/http
// (2 x 4 KiB) and of the WebSocket (2 x 16 KiB), two stacks (2 x 8 KiB) and the largest Hello (4 KiB), rounded up.
const connectionMemory = 64 << 10

// agentMemoryLimit limits the growth of an agent's memory by unauthenticated connections, in bytes; see entryMemoryLimit.
const agentMemoryLimit = 2 * link.MaxUnauthenticatedConns * (link.MaxHeaderBytes + 4<<10 + connectionMemory)

// entryMemoryLimit limits the growth of an entry's memory by unauthenticated connections, in bytes. The garbage
// collector lets the heap grow to twice what is in use, and net/http reads 4 KiB past MaxHeaderBytes.
const entryMemoryLimit = agentMemoryLimit + 2*(front.MaxIdleConns*(front.MaxHeaderBytes+4<<10+connectionMemory)+
	admin.MaxIdleConns*(admin.MaxHeaderBytes+4<<10+connectionMemory))

// flood opens n connections, writes text to each and leaves them open until the test ends.
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
		_, _ = io.WriteString(c, text) // the listener may have closed the connection
	}
}

// sendMessages opens a WebSocket with the token, sends messages and reads until the peer closes it or a second passes.
func sendMessages(address string, messages ...[]byte) {
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

// metricValue returns the value of a counter in the entry's metrics, or 0 if the entry doesn't answer or lacks the counter.
func metricValue(t *testing.T, e *process, series string) float64 {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, e.url("admin")+"/metrics", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0 // callers poll
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

// Hostile senders, with or without the link token, must not keep callers from being answered or use up the memory of an
// entry or agent, and the metrics have to count what was refused.
func TestHostileSenders(t *testing.T) {
	limitFleets(t)
	f := newFleet(t, 1, 1)
	e, a := f.entries[0], f.agents[0]
	before, agentBefore := residentMemory(t, e), residentMemory(t, a)
	callers := startLoad("hostile", 4, 3*time.Second, f.entries...)
	broken := func(cause string) string { return fmt.Sprintf(`broken_links_total{cause=%q}`, cause) }
	refused := func(cause string) string { return fmt.Sprintf(`refused_connections_total{cause=%q}`, cause) }
	self := link.Hello{Node: "x1", Incarnation: 1, Role: link.RoleAgent, Region: "west", Centre: "one"}
	now := model.NewIncarnation(time.Now())
	valid := model.Record{ID: "x1", Incarnation: now, Region: "west", Centre: "one", Service: "other", Address: "127.0.0.1:9"}
	announce := func(n int, corrupt func(*model.Record)) func() {
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
				corrupt(&r)
				if l.Send(link.Announce{Records: []model.Record{r}}) != nil {
					return
				}
			}
			time.Sleep(200 * time.Millisecond) // closing the link discards records that were not read yet
		}
	}
	announceOne := func(corrupt func(*model.Record)) func() { return announce(1, corrupt) }
	partialHeader := "GET / HTTP/1.1\r\nHost: x\r\nX: "
	for _, c := range []struct {
		name     string
		attack   func()
		series   string
		minCount float64
	}{
		{
			"connections without a word",
			func() { flood(t, e.addr("link"), "", 2*link.MaxUnauthenticatedConns) }, refused("link evicted"), link.MaxUnauthenticatedConns,
		},
		{"agent's connections without a word", func() { flood(t, a.addr("link"), "", 2*link.MaxUnauthenticatedConns) }, "", 0},
		{"wrong token, kept open", func() {
			flood(t, e.addr("link"), "GET /link HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer x\r\n\r\n", link.MaxUnauthenticatedConns)
		}, broken("denied"), link.MaxUnauthenticatedConns},
		{"refused request, body held back", func() {
			flood(t, e.addr("link"), "POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n", 2*link.MaxUnauthenticatedConns)
		}, refused("link evicted"), 1},
		{"no hello", func() { sendMessages(e.addr("link")) }, broken("no hello"), 1},
		{"malformed hello", func() { sendMessages(e.addr("link"), []byte{1, 0xff}) }, broken("malformed"), 1},
		{"oversized hello", func() { sendMessages(e.addr("link"), make([]byte, 5<<20)) }, broken("malformed"), 1},
		{"huge identifier", announceOne(func(r *model.Record) { r.ID = model.NodeID(strings.Repeat("x", 1<<20)) }), refusedRecords, 1},
		{"another's identifier", announceOne(func(r *model.Record) { r.ID = "agent-0" }), refusedRecords, 1},
		{"future incarnation", announceOne(func(r *model.Record) { r.Incarnation = 1<<64 - 1 }), refusedRecords, 1},
		{"negative slots", announceOne(func(r *model.Record) { r.Load.Slots = -1 << 40 }), refusedRecords, 1},
		{"no address", announceOne(func(r *model.Record) { r.Address = "nowhere" }), refusedRecords, 1},
		{"flood of records", announce(20_000, func(*model.Record) {}), refusedRecords, 10_000},
		{"callers' half headers", func() {
			flood(t, e.addr("listen"), partialHeader+strings.Repeat("x", 30<<10), 2*front.MaxIdleConns)
		}, refused("caller evicted"), 1},
		{"callers' whole connections, idle", func() {
			flood(t, e.addr("listen"), "GET /x HTTP/1.1\r\nHost: x\r\nWagtailhoist-Timeout: x\r\n\r\n", front.MaxIdleConns)
		}, refused("caller evicted"), 1},
		{"callers' bodies held back", func() {
			flood(t, e.addr("listen"), "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 16777216\r\n\r\n", 2*front.MaxIdleConns)
		}, refused("caller evicted"), front.MaxIdleConns},
		{"operators' half headers", func() { flood(t, e.addr("admin"), partialHeader, 4*admin.MaxIdleConns) }, refused("operator evicted"), 1},
		{"operators without the token", func() {
			flood(t, e.addr("admin"), "GET /status HTTP/1.1\r\nHost: x\r\n\r\n", 10)
		}, `refused_calls_total{cause="denied"}`, 10},
	} {
		start := 0.0
		if c.series != "" {
			start = metricValue(t, e, c.series)
		}
		c.attack()
		if c.series != "" {
			eventually(t, 10*time.Second, c.name+": refusals are counted", func() bool {
				time.Sleep(200 * time.Millisecond) // calls of operators are rate-limited
				return metricValue(t, e, c.series)-start >= c.minCount
			})
		}
		if got := residentMemory(t, e) - before; got > entryMemoryLimit {
			t.Errorf("%s: the entry's memory grew by %.0f bytes, want at most %d", c.name, got, entryMemoryLimit)
		}
	}
	if got := residentMemory(t, a) - agentBefore; got > agentMemoryLimit {
		t.Errorf("the agent's memory grew by %.0f bytes, want at most %d", got, agentMemoryLimit)
	}
	eventually(t, 15*time.Second, "the agent logs that it refused senders", func() bool { return len(a.lines("senders refused")) > 0 })
	// A caller's connection would break only if the entry evicted it between two requests, which it must not do here.
	results := callers.finish()
	checkAnswers(t, results, false)
	checkExecutions(t, results, f.executionCounts())
	if got := outcomes(results); got["answered"] < len(results)*99/100 || len(results) < 100 {
		t.Errorf("honest callers: got %v, want at least 99%% answered", got)
	}
	t.Logf("memory grew by %.1f MiB, bound %d MiB; callers %v", (residentMemory(t, e)-before)/(1<<20), entryMemoryLimit>>20, outcomes(results))
}

// refusedRecords is the metric of announced records that an entry refused.
const refusedRecords = `refused_records_total{kind="record"}`
