package check

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"wagtailhoist/core/budget"
)

// maxMillis bounds times, so that they can be calculated with in nanoseconds: 30 days.
const maxMillis = 30 * 24 * 3600 * 1000

// rules adds findings to a collection. Its methods find what is wrong with one part of a state each.
type rules struct{ findings *Findings }

func (r *rules) error(p Place, fix, format string, args ...any) {
	r.findings.Add(Error, func() Finding { return Finding{Place: p, Text: fmt.Sprintf(format, args...), Fix: fix} })
}

func (r *rules) warn(p Place, fix, format string, args ...any) {
	r.findings.Add(Warning, func() Finding { return Finding{Place: p, Text: fmt.Sprintf(format, args...), Fix: fix} })
}

// Find adds the contradictions of a state to the findings.
func Find(s *State, b Bounds, findings *Findings) {
	r := &rules{findings}
	r.version(s, b.InForce)
	r.queues(s)
	r.paths(s.Routes)
	for i := range s.Routes {
		r.route(&s.Routes[i])
	}
	r.services(s)
	r.teams(s.Teams)
	Guarantees(s.Teams, b.GPUs, findings)
	r.limits(&s.Limits, b)
}

func (r *rules) version(s *State, inForce *int64) {
	v := s.Version
	switch {
	case v.Value <= 0:
		r.warn(v.Place, "set a version above that in force", "the version is %d", v.Value)
	case inForce != nil && v.Value <= *inForce:
		r.warn(v.Place, fmt.Sprintf("set a version above %d", *inForce), "version %d does not follow version %d, which is in force", v.Value, *inForce)
	}
}

// settings are those of a queue that hold for all its jobs, whichever route they came by.
type settings struct {
	service                       string
	priority, maxAttempts, target int64
	stretch                       float64
	requiresTicket                bool
}

func (r *Route) settings() settings {
	return settings{r.Service.Value, r.Priority.Value, r.MaxAttempts.Value, r.TargetMillis.Value, r.Stretch.Value, r.RequiresTicket}
}

// queues finds routes to one queue that disagree about its settings: those of the last one hold.
func (r *rules) queues(s *State) {
	if len(s.Routes) == 0 {
		r.warn(s.Place, "add the queues", "no queue is routed, so that every request is refused")
	}
	last := map[string]*Route{}
	for i := range s.Routes {
		last[s.Routes[i].Name.Value] = &s.Routes[i]
	}
	for i := range s.Routes {
		route := &s.Routes[i]
		other := last[route.Name.Value]
		if route.settings() != other.settings() {
			r.error(route.Name.Place, "give both the same settings, or one of them another name",
				"the settings of queue %q are replaced by those at line %d", route.Name.Value, other.Place.Line)
		}
		if route.Name.Value == "" {
			r.warn(route.Name.Place, "set a name", "the queue has no name")
		}
	}
}

// hostAndPrefix selects the requests of a route.
type hostAndPrefix struct{ host, prefix string }

func (r *Route) selector() hostAndPrefix { return hostAndPrefix{r.Host.Value, r.Prefix.Value} }

// jobIDStart matches what a longer prefix may have beyond a shorter one to select some of the job IDs that follow it.
var jobIDStart = regexp.MustCompile(`^[0-9a-fA-F]{1,16}$`)

// paths finds routes that other routes shadow: the first of equal ones gets the requests, and otherwise the longest prefix does.
func (r *rules) paths(routes []Route) {
	first := map[hostAndPrefix]*Route{}
	for i := range routes {
		route := &routes[i]
		if earlier, ok := first[route.selector()]; ok {
			r.error(route.Prefix.Place, "remove one of the two, or change its prefix",
				"host %q and prefix %q occur before, at line %d, so that queue %q gets no requests by this route",
				route.Host.Value, route.Prefix.Value, earlier.Place.Line, route.Name.Value)
			continue
		}
		first[route.selector()] = route
	}
	r.takenJobIDs(routes, first)
}

// takenJobIDs finds the routes some or all of whose job IDs are taken by longer prefixes. first has the route that gets the requests of
// each host and prefix.
func (r *rules) takenJobIDs(routes []Route, first map[hostAndPrefix]*Route) {
	// taken has the beginnings of the job IDs that are taken from a route.
	taken := map[*Route][]string{}
	for i := range routes {
		long := &routes[i]
		if first[long.selector()] != long {
			continue
		}
		prefix := long.Prefix.Value
		// A job ID has 16 digits, so only prefixes that are at most so much shorter are concerned.
		for n := len(prefix) - 1; n >= max(0, len(prefix)-16); n-- {
			short, ok := first[hostAndPrefix{long.Host.Value, prefix[:n]}]
			if ok && strings.HasPrefix(prefix[:n], "/") && jobIDStart.MatchString(prefix[n:]) {
				r.warn(long.Prefix.Place, "end prefixes with a slash", "takes the jobs of queue %q whose IDs begin with %q (prefix %q at line %d)",
					short.Name.Value, prefix[n:], prefix[:n], short.Place.Line)
				taken[short] = append(taken[short], prefix[n:])
			}
		}
	}
	for i := range routes {
		if route := &routes[i]; coverJobIDs(taken[route]) {
			r.error(route.Prefix.Place, "end prefixes with a slash",
				"%d longer prefixes together take all job IDs behind prefix %q, so that queue %q gets no jobs by this route",
				len(taken[route]), route.Prefix.Value, route.Name.Value)
		}
	}
}

// jobIDDigits are the characters of job IDs, which are compared as they are written.
const jobIDDigits = "0123456789abcdefABCDEF"

// coverJobIDs reports whether each job ID begins with one of the given texts, which consist of at most 16 digits each. It is so if
// one text is empty, or if the texts with each first digit, without that digit, cover the IDs that go on from there.
func coverJobIDs(starts []string) bool {
	if slices.Contains(starts, "") {
		return true
	}
	if len(starts) < len(jobIDDigits) {
		return false
	}
	rest := map[byte][]string{}
	for _, start := range starts {
		rest[start[0]] = append(rest[start[0]], start[1:])
	}
	for _, digit := range []byte(jobIDDigits) {
		if !coverJobIDs(rest[digit]) {
			return false
		}
	}
	return true
}

// route finds what is wrong with a route by itself.
func (r *rules) route(route *Route) {
	host, prefix := route.Host, route.Prefix
	if host.Value != strings.ToLower(host.Value) {
		r.error(host.Place, fmt.Sprintf("write %q", strings.ToLower(host.Value)),
			"host %q never matches: hosts of requests are compared in lower case", host.Value)
	} else if host.Value == "" {
		r.warn(host.Place, "set the host name of the requests", "the route has no host; nearly all requests name one")
	}
	if !strings.HasPrefix(prefix.Value, "/") {
		r.error(prefix.Place, "begin the prefix with a slash", "prefix %q never matches: the paths of requests begin with a slash", prefix.Value)
	} else if !strings.HasSuffix(prefix.Value, "/") {
		r.warn(prefix.Place, "end the prefix with a slash", "prefix %q does not end with a slash, so that job IDs follow it directly", prefix.Value)
	}
	if route.MaxAttempts.Value <= 0 {
		r.warn(route.MaxAttempts.Place, "set 1 or more", "maximum of attempts %d counts as 1: a job ends at the first failure of a task",
			route.MaxAttempts.Value)
	}
	if route.Priority.Value < 0 {
		r.warn(route.Priority.Place, "set 0 for the highest priority", "priority %d is out of range", route.Priority.Value)
	}
	if route.Stretch.Value < 0 {
		r.warn(route.Stretch.Place, "set 0 or more", "stretch %v is out of range", route.Stretch.Value)
	}
	timeout, target := route.TimeoutMillis, route.TargetMillis
	r.millis(target)
	r.millis(timeout)
	if timeout.Value > 0 && target.Value > timeout.Value {
		r.warn(timeout.Place, "raise the timeout or lower the objective",
			"the timeout of %d ms is under the latency objective of %d ms", timeout.Value, target.Value)
	}
}

func (r *rules) millis(f Field[int64]) {
	if f.Value < 0 || f.Value > maxMillis {
		r.warn(f.Place, fmt.Sprintf("set 0 to %d", maxMillis), "%d ms is out of range", f.Value)
	}
}

func (r *rules) services(s *State) {
	known := map[string]int{}
	for i := range s.Services {
		name := s.Services[i].Name
		if line, twice := known[name.Value]; twice {
			r.warn(name.Place, "remove one of the two", "service %q occurs before, at line %d", name.Value, line)
			continue
		}
		known[name.Value] = s.Services[i].Place.Line
	}
	if !s.ListsServices && len(s.Routes) > 0 {
		r.warn(s.Place, "add the services of the queues", "there is no list of services")
		return
	}
	for i := range s.Routes {
		route := &s.Routes[i]
		if _, ok := known[route.Service.Value]; !ok {
			r.warn(route.Service.Place, "add the service, or name another",
				"service %q of queue %q is not among the services, so that its jobs may find no worker", route.Service.Value, route.Name.Value)
		}
	}
}

// teams finds contradictions among the names and API keys of teams. The keys are secrets, so findings only show their places.
func (r *rules) teams(teams []Team) {
	last, owners := map[string]*Team{}, map[string]*Team{}
	for i := range teams {
		last[teams[i].Name.Value] = &teams[i]
	}
	for i := range teams {
		team := &teams[i]
		name := team.Name.Value
		if other := last[name]; other.Guarantee.Value != team.Guarantee.Value {
			r.error(team.Name.Place, "merge the two", "the guarantee of team %q is replaced by that at line %d", name, other.Place.Line)
		} else if other != team {
			r.warn(team.Name.Place, "merge the two", "team %q occurs again, at line %d", name, other.Place.Line)
		}
		if name == "" {
			r.warn(team.Name.Place, "set a name", "the team has no name")
		}
		if len(team.Keys) == 0 {
			r.warn(team.Place, "add a key, or remove the team", "team %q has no API key, so that it can send nothing", name)
		}
		for _, key := range team.Keys {
			r.key(key, team, owners)
		}
	}
}

// key finds what is wrong with an API key, and records its owner.
func (r *rules) key(key Field[string], team *Team, owners map[string]*Team) {
	owner, known := owners[key.Value]
	owners[key.Value] = team
	switch {
	case known && owner.Name.Value != team.Name.Value:
		r.error(key.Place, "give each team keys of its own", "the API key belongs to team %q too (line %d); its requests count as those of team %q",
			owner.Name.Value, owner.Place.Line, team.Name.Value)
	case known:
		r.warn(key.Place, "remove it", "the API key occurs twice")
	case key.Value == "":
		r.warn(key.Place, "remove it", "the empty API key makes callers without a key members of team %q", team.Name.Value)
	case strings.TrimSpace(key.Value) != key.Value:
		r.warn(key.Place, "remove the spaces", "the API key begins or ends with a space, which callers can't send")
	}
}

// Guarantees adds the guarantees that contradict the quota of their team or, if gpus is not 0, the size of the fleet.
func Guarantees(teams []Team, gpus int64, findings *Findings) {
	r := &rules{findings}
	// Guarantees may be as large as an int64, so that their sum is limited.
	var sum int64
	for i := range teams {
		guarantee, quota := teams[i].Guarantee, teams[i].Quota
		if guarantee.Value < 0 {
			r.warn(guarantee.Place, "set 0 or more", "a guarantee of %d accelerators is out of range", guarantee.Value)
			continue
		}
		if quota.Value > 0 && guarantee.Value > quota.Value {
			r.error(guarantee.Place, "lower the guarantee or raise the quota", "the guarantee of %d accelerators exceeds the quota of %d",
				guarantee.Value, quota.Value)
		}
		before := sum
		sum = min(sum, math.MaxInt64-guarantee.Value) + guarantee.Value
		if gpus > 0 && before <= gpus && sum > gpus {
			r.error(guarantee.Place, "lower the guarantees", "with this one, the guarantees add up to %d accelerators or more; the fleet has %d", sum, gpus)
		}
	}
}

func (r *rules) limits(l *Limits, b Bounds) {
	body := l.BodyBytes
	switch {
	// The entry reads one byte more than the limit.
	case body.Value < b.MinBody || body.Value == math.MaxInt64:
		r.error(body.Place, "set another limit, or 0 for the default", "with a limit of %d bytes, every job is refused", body.Value)
	case b.BodyBudget > 0 && body.Value > budget.MaxBody(b.BodyBudget):
		r.error(body.Place, "lower the limit, or raise the budget of the entries",
			"the limit of %d bytes exceeds %d bytes, three quarters of the entry's memory budget for bodies: larger bodies are always refused",
			body.Value, budget.MaxBody(b.BodyBudget))
	}
	if l.HeaderBytes.Value < 0 {
		r.warn(l.HeaderBytes.Place, "set a limit, or 0 for the default", "a limit of %d bytes is out of range", l.HeaderBytes.Value)
	}
	r.millis(l.HeaderTimeoutMillis)
	r.millis(l.IdleTimeoutMillis)
}
