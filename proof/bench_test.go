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

// bench is one entry, one agent and one stand minion; relays count the bytes of the links.
type bench struct {
	entry, agent, minion *process
	// work is before the agent's listener, join before the entry's.
	work, join *process
}

func newBench(b *testing.B, relayed bool) *bench {
	b.Helper()
	p := &bench{}
	node := []string{"--region", "west", "--centre", "one", "--token", testToken}
	p.entry = start(b, "wagtailhoist", append([]string{"entry", "--id", "entry-0"}, node...)...)
	p.minion = start(b, "stand", "minion")
	args := append([]string{"agent", "--id", "agent-0", "--minion", p.minion.url("listen")}, node...)
	if relayed {
		p.join = start(b, "stand", "relay", "--target", p.entry.addr("link"))
		address := freeAddress(b)
		p.work = start(b, "stand", "relay", "--target", address)
		args = append(args, "--listen", address, "--advertise", p.work.addr("listen"), "--join", p.join.addr("listen"))
	} else {
		args = append(args, "--join", p.entry.addr("link"))
	}
	p.agent = start(b, "wagtailhoist", args...)
	good := 0
	eventually(b, 20*time.Second, "a row of answers", func() bool {
		good++
		if send(p.entry.url("listen"), p.request(fmt.Sprintf("warm-%d", good), 0)).outcome != "answered" {
			good = 0
		}
		return good > 20
	})
	return p
}

func (p *bench) request(id string, size int) request {
	return request{id: id, method: http.MethodPost, body: 64, size: size, timeout: 10 * time.Second}
}

// through sends a request by the entry and fails the benchmark unless it is answered.
func (p *bench) through(b *testing.B, id string, size int) time.Duration {
	r := send(p.entry.url("listen"), p.request(id, size))
	if r.outcome != "answered" || r.wrong != "" {
		b.Errorf("request %s: got %s %s %s %v, want an answer", id, r.outcome, r.reason, r.wrong, r.err)
	}
	return r.ended.Sub(r.sent)
}

// cpu returns the processor time that a process has used.
func cpu(b *testing.B, p *process) time.Duration {
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

// relayBytes returns the bytes that a relay passed towards its target and back.
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

func quantile(d []time.Duration, q float64) float64 {
	slices.Sort(d)
	return float64(d[int(q*float64(len(d)-1))].Microseconds())
}

// BenchmarkLatency compares a direct call with one through entry and agent; both alternate in one run.
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
		path = append(path, p.through(b, fmt.Sprintf("p%d", n), 0))
	}
	for _, q := range []float64{0.5, 0.99} {
		d, t := quantile(direct, q), quantile(path, q)
		name := fmt.Sprintf("p%.0f", 100*q)
		b.ReportMetric(d, name+"-direct-µs")
		b.ReportMetric(t, name+"-path-µs")
		b.ReportMetric(t/d, name+"-ratio")
	}
}

// BenchmarkThroughput counts requests for each second of processor time, with 8 callers.
func BenchmarkThroughput(b *testing.B) {
	const workers = 8
	p := newBench(b, false)
	entry, agent, began := cpu(b, p.entry), cpu(b, p.agent), time.Now()
	var next atomic.Int64
	var wait sync.WaitGroup
	b.ResetTimer()
	for range workers {
		wait.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				p.through(b, fmt.Sprintf("t%d", n), 0)
			}
		})
	}
	wait.Wait()
	took := time.Since(began)
	entry, agent = cpu(b, p.entry)-entry, cpu(b, p.agent)-agent
	b.ReportMetric(float64(b.N)/took.Seconds(), "req/s")
	b.ReportMetric(float64(b.N)/entry.Seconds(), "req/s/entry-core")
	b.ReportMetric(float64(b.N)/agent.Seconds(), "req/s/agent-core")
	b.ReportMetric(float64(b.N)/(entry+agent).Seconds(), "req/s/core")
}

// BenchmarkLinkBytes counts the bytes between entry and agent for a request, without TCP and IP headers.
func BenchmarkLinkBytes(b *testing.B) {
	for _, size := range []int{0, 200_000} {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			p := newBench(b, true)
			out, in := relayBytes(b, p.work)
			n := 0
			for b.Loop() {
				n++
				p.through(b, fmt.Sprintf("b%d", n), size)
			}
			out2, in2 := relayBytes(b, p.work)
			b.ReportMetric((out2-out)/float64(n), "out-B/req")
			b.ReportMetric((in2-in)/float64(n), "in-B/req")
		})
	}
}

// BenchmarkHeartbeat counts the bytes of an idle agent's announcements and heartbeats for
// each link to an entry, without TCP and IP headers. An agent has three such links.
func BenchmarkHeartbeat(b *testing.B) {
	const wait = 10 * time.Second
	p := newBench(b, true)
	out, in := relayBytes(b, p.join)
	time.Sleep(wait)
	out2, in2 := relayBytes(b, p.join)
	b.ReportMetric((out2-out)/wait.Seconds(), "announce-B/s")
	b.ReportMetric((in2-in)/wait.Seconds(), "entry-B/s")
	idle := cpu(b, p.agent)
	work, back := relayBytes(b, p.work)
	time.Sleep(wait)
	work2, back2 := relayBytes(b, p.work)
	b.ReportMetric((work2-work+back2-back)/wait.Seconds(), "work-link-B/s")
	b.ReportMetric(100*(cpu(b, p.agent)-idle).Seconds()/wait.Seconds(), "agent-core-%")
	b.ReportMetric(memory(b, p.agent, "VmRSS"), "agent-MiB")
}

// memory returns a memory figure of a process in MiB: VmRSS is the present one, VmHWM the highest so far.
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

// BenchmarkMemory reports the highest memory of entry and agent while 8 callers send bodies
// of 16 MiB and get as much back. The agent refuses what its memory does not hold.
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
				} else if r.outcome != "answered" || r.wrong != "" {
					b.Errorf("request: got %s %s %s %v, want an answer", r.outcome, r.reason, r.wrong, r.err)
				}
			}
		})
	}
	wait.Wait()
	b.ReportMetric(float64(refused.Load()), "refused")
	b.ReportMetric(memory(b, p.entry, "VmHWM"), "entry-MiB")
	b.ReportMetric(memory(b, p.agent, "VmHWM"), "agent-MiB")
}
