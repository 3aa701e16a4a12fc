package proof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// bench is a system of one entry, one agent and one minion, optionally with relays that count the bytes of the links.
type bench struct {
	entry, agent, minion *process
	// toAgent relays the entry's link to the agent, toEntry the agent's link to the entry; both are nil without relays.
	toAgent, toEntry *process
}

// newBench starts the processes and waits until 20 requests in a row have been answered.
func newBench(b *testing.B, relayed bool) *bench {
	b.Helper()
	p := &bench{}
	node := []string{"--region", "west", "--centre", "one", "--token", testToken}
	p.entry = start(b, "wagtailhoist", append([]string{"entry", "--id", "entry-0"}, node...)...)
	p.minion = start(b, "stand", "minion")
	args := append([]string{"agent", "--id", "agent-0", "--minion", p.minion.url("listen")}, node...)
	if relayed {
		p.toEntry = start(b, "stand", "relay", "--target", p.entry.addr("link"))
		address := freeAddress(b)
		p.toAgent = start(b, "stand", "relay", "--target", address)
		args = append(args, "--listen", address, "--advertise", p.toAgent.addr("listen"), "--join", p.toEntry.addr("listen"))
	} else {
		args = append(args, "--join", p.entry.addr("link"))
	}
	p.agent = start(b, "wagtailhoist", args...)
	good := 0
	eventually(b, 20*time.Second, "20 requests in a row are answered", func() bool {
		good++
		if send(p.entry.url("listen"), p.request(fmt.Sprintf("warm-%d", good), 0)).outcome != "answered" {
			good = 0
		}
		return good > 20
	})
	return p
}

// request returns a POST with a small body and an answer of the given size.
func (p *bench) request(id string, size int) request {
	return request{id: id, method: http.MethodPost, body: 64, size: size, timeout: 10 * time.Second}
}

// sendThroughEntry sends a request through the entry, fails the benchmark unless it is answered, and returns its duration.
func (p *bench) sendThroughEntry(b *testing.B, id string, size int) time.Duration {
	r := send(p.entry.url("listen"), p.request(id, size))
	if r.outcome != "answered" || r.mismatch != "" {
		b.Errorf("request %s: got %s %s %s %v, want an answer", id, r.outcome, r.reason, r.mismatch, r.err)
	}
	return r.ended.Sub(r.sent)
}

// cpuTime returns the user and system time that a process has used.
func cpuTime(b *testing.B, p *process) time.Duration {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	const tick = 10 * time.Millisecond // USER_HZ is 100 on Linux
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	var sum int
	for _, f := range fields[11:13] { // utime and stime
		n, err := strconv.Atoi(f)
		if err != nil {
			b.Fatal(err)
		}
		sum += n
	}
	return time.Duration(sum) * tick
}

// relayBytes returns how many bytes a relay has forwarded to its target and back.
func relayBytes(b *testing.B, p *process) (out, in float64) {
	b.Helper()
	resp, err := http.Get(p.url("control") + "/counts")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	var c struct{ Out, In float64 }
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		b.Fatal(err)
	}
	return c.Out, c.In
}

// quantile sorts d and returns its q-quantile in microseconds.
func quantile(d []time.Duration, q float64) float64 {
	slices.Sort(d)
	return float64(d[int(q*float64(len(d)-1))].Microseconds())
}

// BenchmarkLatency compares direct calls of the minion with calls through entry and agent. The two alternate, so
// that both see the same load of the machine.
func BenchmarkLatency(b *testing.B) {
	p := newBench(b, false)
	var direct, path []time.Duration
	n := 0
	for b.Loop() {
		n++
		r := send(p.minion.url("listen"), p.request(fmt.Sprintf("d%d", n), 0))
		if r.err != nil || r.status != http.StatusOK {
			b.Fatalf("direct call: got status %d, %v", r.status, r.err)
		}
		direct = append(direct, r.ended.Sub(r.sent))
		path = append(path, p.sendThroughEntry(b, fmt.Sprintf("p%d", n), 0))
	}
	for _, q := range []float64{0.5, 0.99} {
		d, t := quantile(direct, q), quantile(path, q)
		name := fmt.Sprintf("p%.0f", 100*q)
		b.ReportMetric(d, name+"-direct-µs")
		b.ReportMetric(t, name+"-path-µs")
		b.ReportMetric(t/d, name+"-ratio")
	}
}

// BenchmarkThroughput reports the requests per second of wall time and of processor time with 8 callers.
func BenchmarkThroughput(b *testing.B) {
	const workers = 8
	p := newBench(b, false)
	entry, agent, began := cpuTime(b, p.entry), cpuTime(b, p.agent), time.Now()
	var next atomic.Int64
	var wait sync.WaitGroup
	b.ResetTimer()
	for range workers {
		wait.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				p.sendThroughEntry(b, fmt.Sprintf("t%d", n), 0)
			}
		})
	}
	wait.Wait()
	took := time.Since(began)
	entry, agent = cpuTime(b, p.entry)-entry, cpuTime(b, p.agent)-agent
	b.ReportMetric(float64(b.N)/took.Seconds(), "req/s")
	b.ReportMetric(float64(b.N)/entry.Seconds(), "req/s/entry-core")
	b.ReportMetric(float64(b.N)/agent.Seconds(), "req/s/agent-core")
	b.ReportMetric(float64(b.N)/(entry+agent).Seconds(), "req/s/core")
}

// BenchmarkLinkBytes reports the bytes per request on the link between entry and agent, without TCP and IP headers.
func BenchmarkLinkBytes(b *testing.B) {
	for _, size := range []int{0, 200_000} {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			p := newBench(b, true)
			out, in := relayBytes(b, p.toAgent)
			n := 0
			for b.Loop() {
				n++
				p.sendThroughEntry(b, fmt.Sprintf("b%d", n), size)
			}
			out2, in2 := relayBytes(b, p.toAgent)
			b.ReportMetric((out2-out)/float64(n), "out-B/req")
			b.ReportMetric((in2-in)/float64(n), "in-B/req")
		})
	}
}

// BenchmarkHeartbeat reports the bytes per second of an idle agent's announcements and heartbeats on one link to an
// entry, without TCP and IP headers, and the agent's processor time and memory. An agent has three such links.
func BenchmarkHeartbeat(b *testing.B) {
	const wait = 10 * time.Second
	p := newBench(b, true)
	out, in := relayBytes(b, p.toEntry)
	time.Sleep(wait)
	out2, in2 := relayBytes(b, p.toEntry)
	b.ReportMetric((out2-out)/wait.Seconds(), "announce-B/s")
	b.ReportMetric((in2-in)/wait.Seconds(), "entry-B/s")
	idle := cpuTime(b, p.agent)
	toAgent, back := relayBytes(b, p.toAgent)
	time.Sleep(wait)
	toAgent2, back2 := relayBytes(b, p.toAgent)
	b.ReportMetric((toAgent2-toAgent+back2-back)/wait.Seconds(), "work-link-B/s")
	b.ReportMetric(100*(cpuTime(b, p.agent)-idle).Seconds()/wait.Seconds(), "agent-core-%")
	b.ReportMetric(memory(b, p.agent, "VmRSS"), "agent-MiB")
}

// memory returns a memory field of /proc/PID/status in MiB: VmRSS is the current resident size, VmHWM its maximum.
func memory(b *testing.B, p *process, name string) float64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), name+":")
	kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		b.Fatal(err)
	}
	return kib / 1024
}

// BenchmarkMemory reports the maximum memory of entry and agent while 8 callers send bodies of 16 MiB and receive
// answers of the same size. The agent refuses requests whose bodies exceed its memory limit.
func BenchmarkMemory(b *testing.B) {
	const workers, size = 8, 16 << 20
	p := newBench(b, false)
	var next, refused atomic.Int64
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				r := send(p.entry.url("listen"), request{
					id: fmt.Sprintf("m%d", n), method: http.MethodPost, body: size, size: size, timeout: time.Minute,
				})
				if r.outcome == "not-run" {
					refused.Add(1)
				} else if r.outcome != "answered" || r.mismatch != "" {
					b.Errorf("request: got %s %s %s %v, want an answer", r.outcome, r.reason, r.mismatch, r.err)
				}
			}
		})
	}
	wait.Wait()
	b.ReportMetric(float64(refused.Load()), "refused")
	b.ReportMetric(memory(b, p.entry, "VmHWM"), "entry-MiB")
	b.ReportMetric(memory(b, p.agent, "VmHWM"), "agent-MiB")
}
