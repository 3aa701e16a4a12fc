package intake

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Reasons under which refused requests and closed connections are counted.
const (
	ReasonFull       = "budget full"
	ReasonEvicted    = "evicted"
	ReasonLate       = "body late"
	ReasonTooLarge   = "body too large"
	ReasonUnread     = "body not received"
	ReasonBusy       = "decoding busy"
	ReasonNotReady   = "not ready"
	ReasonInvalid    = "body not decodable"
	ReasonNoRoute    = "no route"
	ReasonUnknownKey = "unknown key"
	ReasonNoCapacity = "no capacity"

	ReasonIdle     = "idle at the bound"
	ReasonNoHeader = "no header at the bound"
)

// Counter counts events by the value of a label.
type Counter interface {
	Count(name, label, value string, n int64)
}

// logInterval is the shortest time between two log lines of a Reporter.
const logInterval = time.Second

// Reporter counts refused requests and closed connections by reason. It logs the counts at most once per logInterval. A nil
// Reporter reports nothing.
type Reporter struct {
	// Log and Meter may be nil.
	Log   *slog.Logger
	Meter Counter

	mu      sync.Mutex
	pending map[event]occurrences
}

// event is a kind of event: the name of its counter and its reason.
type event struct{ name, reason string }

// occurrences are the number of events of a kind since the last log line, and the detail of the latest.
type occurrences struct {
	count  int64
	detail string
}

// Refused counts a request that was refused without an effect. The log shows the latest detail of each reason: whose request it
// was, for example.
func (r *Reporter) Refused(reason, detail string) { r.add(event{"refused_requests", reason}, detail) }

// Closed counts a connection that was closed in favour of others.
func (r *Reporter) Closed(reason, address string) {
	r.add(event{"closed_connections", reason}, address)
}

func (r *Reporter) add(e event, detail string) {
	if r == nil {
		return
	}
	if r.Meter != nil {
		r.Meter.Count(e.name, "reason", e.reason, 1)
	}
	if r.Log == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = map[event]occurrences{}
		time.AfterFunc(logInterval, r.flush)
	}
	r.pending[e] = occurrences{r.pending[e].count + 1, detail}
}

// flush logs the events counted since the last line.
func (r *Reporter) flush() {
	r.mu.Lock()
	counts := r.pending
	r.pending = nil
	r.mu.Unlock()
	if len(counts) == 0 {
		return
	}
	var total int64
	var reasons []any
	events := slices.SortedFunc(maps.Keys(counts), func(a, b event) int {
		return strings.Compare(a.name+a.reason, b.name+b.reason)
	})
	for _, e := range events {
		o := counts[e]
		total += o.count
		reasons = append(reasons, e.name+": "+e.reason, fmt.Sprintf("%d, last: %s", o.count, o.detail))
	}
	r.Log.Warn("requests refused or connections closed", append([]any{"count", total}, reasons...)...)
}
