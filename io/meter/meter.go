package meter

import (
	"io"
	"net/http"
	"sync"
	"time"
	"unicode"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"wagtailhoist/core/model"
)

const (
	// reportInterval is how often tally passes the metrics on to the Prometheus registry.
	reportInterval = time.Second
	// maxTeams bounds the teams that have a series each: the target size of 380 plus a reserve. Further teams share one
	// series, because a caller can put any name into the team header of a request.
	maxTeams = 400
	// maxClasses bounds the classes that have a series each.
	maxClasses = 64
	// maxReasons bounds the label values of each counter.
	maxReasons = 32
	// maxCells bounds the cells that have a series each: the target size of 15 data centres plus a reserve.
	maxCells = 64
	// maxLabelBytes bounds a label value.
	maxLabelBytes = 64
	// maxDuration is the upper bound of the last bucket.
	maxDuration = 24 * time.Hour
	// overflowLabel replaces label values beyond a bound. No declared team can have this name.
	overflowLabel = "(other)"
)

// buckets range from requests of a millisecond to jobs of a day. Longer durations are recorded as a day, because tally
// reports a sample above the last bucket as 292 years.
var buckets = tally.DurationBuckets{
	time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond,
	100 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second,
	10 * time.Second, 30 * time.Second, time.Minute, 10 * time.Minute, time.Hour, 6 * time.Hour, maxDuration,
}

// sanitizer leaves label values unchanged: type labels has sanitized them, and the default options would merge the
// teams a-b and a_b.
var sanitizer = tally.SanitizeOptions{
	NameCharacters:       prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', unicode.MaxRune}}},
	ReplacementCharacter: prometheus.DefaultSanitizerOpts.ReplacementCharacter,
}

// Meter holds the metrics of one process. A nil Meter records nothing.
type Meter struct {
	registry *prom.Registry
	handler  http.Handler
	scope    tally.Scope
	closer   io.Closer
	teams    labels
	classes  labels
	reasons  labels
	cells    labels

	mu       sync.RWMutex
	timings  map[series]tally.Histogram
	counters map[series]tally.Counter
}

// series identifies one time series: a metric name and the value of its only label.
type series struct{ name, label, value string }

// New returns a meter that reports to a registry of its own until Close.
func New() *Meter {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	// The defaults for the separator, the sanitizer and tally's own cardinality metrics give names that are not valid
	// in Prometheus, on which the reporter panics.
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "wagtailhoist",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &sanitizer,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{
		registry: registry,
		handler:  reporter.HTTPHandler(),
		scope:    scope,
		closer:   closer,
		teams:    labels{limit: maxTeams},
		classes:  labels{limit: maxClasses},
		reasons:  labels{limit: maxReasons},
		cells:    labels{limit: maxCells},
		timings:  map[series]tally.Histogram{},
		counters: map[series]tally.Counter{},
	}
}

// Close reports the metrics a last time and stops the reporter.
func (m *Meter) Close() error {
	if m == nil {
		return nil
	}
	return m.closer.Close()
}

// Handler serves the metrics in Prometheus format.
func (m *Meter) Handler() http.Handler { return m.handler }

// Waiting records the time that a request or job waited before it was dispatched.
func (m *Meter) Waiting(team model.Team, class string, d time.Duration) {
	m.timing("waiting", team, class, d)
}

// Service records the time that a minion or worker took to serve a request or run a job.
func (m *Meter) Service(team model.Team, class string, d time.Duration) {
	m.timing("service", team, class, d)
}

// Completion records the time from receipt to the last byte of the answer or the end of the job.
func (m *Meter) Completion(team model.Team, class string, d time.Duration) {
	m.timing("completion", team, class, d)
}

// Refusal counts a request that was refused without having been run.
func (m *Meter) Refusal(reason string) { m.count("refusals", "reason", reason, 1) }

// Retry counts a repeated dispatch of a request.
func (m *Meter) Retry(reason string) { m.count("retries", "reason", reason, 1) }

// UnknownOutcome counts a request whose outcome could not be determined.
func (m *Meter) UnknownOutcome(reason string) { m.count("unknown_outcomes", "reason", reason, 1) }

// LateAnswer counts an answer that was discarded because it was late, a duplicate or not for the request.
func (m *Meter) LateAnswer(kind string) { m.count("late_answers", "kind", kind, 1) }

// RemoteBytes counts the bytes of requests sent to, and answers received from, another region.
func (m *Meter) RemoteBytes(region model.Region, bytes int64) {
	m.count("remote_bytes", "region", string(region), bytes)
}

// RefusedJob counts a job that was refused for lack of capacity, once by team and once by queue.
func (m *Meter) RefusedJob(team model.Team, queue string) {
	if m == nil {
		return
	}
	m.inc(series{"refused_jobs_team", "team", m.teams.value("", string(team))}, 1)
	m.inc(series{"refused_jobs_queue", "queue", m.classes.value("", queue)}, 1)
}

// Count adds n to a counter that has one label.
func (m *Meter) Count(name, label, value string, n int64) { m.count(name, label, value, n) }

// Fragmentation sets the fragmentation of a cell, from 0 to 1. NaN means that this process does not own the cell any
// more: a series can't be removed, and its last value would contradict that of the new owner.
func (m *Meter) Fragmentation(cell model.CellID, value float64) {
	if m == nil {
		return
	}
	name := m.cells.value("", string(cell))
	m.scope.Tagged(map[string]string{"cell": name}).Gauge("fragmentation").Update(value)
}

// EvacuatedCentres sets the number of evacuated data centres.
func (m *Meter) EvacuatedCentres(n int) { m.Gauge("evacuated_centres", float64(n)) }

// Gauge sets a gauge without labels.
func (m *Meter) Gauge(name string, value float64) {
	if m == nil {
		return
	}
	m.scope.Gauge(name).Update(value)
}

// RunTimes sets what was learned about the run times of a queue: the expected run time by the estimate, the quotient of the
// run times that one in ten and nine in ten exceed, and the weight of the samples. NaN means that this process doesn't decide
// any more.
func (m *Meter) RunTimes(queue string, ratio, spread, samples float64) {
	if m == nil {
		return
	}
	scope := m.scope.Tagged(map[string]string{"queue": m.classes.value("", queue)})
	scope.Gauge("run_time_ratio").Update(ratio)
	scope.Gauge("run_time_spread").Update(spread)
	scope.Gauge("run_time_samples").Update(samples)
}

// TeamUsage sets what a team has used recently, in accelerator seconds. NaN means that this process doesn't decide any more.
func (m *Meter) TeamUsage(team model.Team, value float64) {
	if m == nil {
		return
	}
	name := m.teams.value("", string(team))
	m.scope.Tagged(map[string]string{"team": name}).Gauge("team_usage").Update(value)
}

// timing records d once by team and once by class, in separate metrics: a series for each pair would multiply the 380
// teams by the number of classes.
func (m *Meter) timing(name string, team model.Team, class string, d time.Duration) {
	if m == nil {
		return
	}
	d = min(d, maxDuration)
	m.histogram(series{name + "_team", "team", m.teams.value("", string(team))}).RecordDuration(d)
	if class != "" {
		m.histogram(series{name + "_class", "class", m.classes.value("", class)}).RecordDuration(d)
	}
}

// histogram returns the histogram of a series and creates it on first use.
func (m *Meter) histogram(s series) tally.Histogram {
	m.mu.RLock()
	h, ok := m.timings[s]
	m.mu.RUnlock()
	if ok {
		return h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, ok := m.timings[s]; ok {
		return h
	}
	h = m.scope.Tagged(map[string]string{s.label: s.value}).Histogram(s.name+"_seconds", buckets)
	m.timings[s] = h
	return h
}

// count adds n to a counter with a bounded number of label values.
func (m *Meter) count(name, label, value string, n int64) {
	if m == nil {
		return
	}
	m.inc(series{name, label, m.reasons.value(name, value)}, n)
}

// inc adds n to the counter of a series, which it creates on first use.
func (m *Meter) inc(s series, n int64) {
	m.mu.RLock()
	c, ok := m.counters[s]
	m.mu.RUnlock()
	if !ok {
		m.mu.Lock()
		if c, ok = m.counters[s]; !ok {
			c = m.scope.Tagged(map[string]string{s.label: s.value}).Counter(s.name + "_total")
			m.counters[s] = c
		}
		m.mu.Unlock()
	}
	c.Inc(n)
}
