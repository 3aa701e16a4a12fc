package check

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

// at returns a value with a path, by which the tests know a finding.
func at[T any](path string, value T) Field[T] {
	return Field[T]{Value: value, Place: Place{Line: 1, Column: 1, Path: path}}
}

// goodState returns a state without findings.
func goodState() *State {
	return &State{
		Version: at("version", int64(2)),
		Routes: []Route{{
			Place: Place{Path: "route"}, Name: at("name", "q"), Service: at("service", "s"), Host: at("host", "h"), Prefix: at("prefix", "/q/"),
			TimeoutMillis: at("timeout", int64(2000)), TargetMillis: at("target", int64(2000)), MaxAttempts: at("attempts", int64(1)),
			Priority: at("priority", int64(0)), Stretch: at("stretch", 3.0),
		}},
		ListsServices: true,
		Services:      []Service{{Name: at("service name", "s")}},
		Teams: []Team{{
			Place: Place{Path: "team"}, Name: at("team name", "t"), Keys: []Field[string]{at("key", "k")},
			Guarantee: at("guarantee", int64(4)), Quota: at("quota", int64(4)),
		}},
		Limits: Limits{BodyBytes: at("body", int64(100)), HeaderBytes: at("header", int64(0))},
	}
}

// second appends a copy of the first route, changed by edit.
func second(s *State, edit func(*Route)) {
	route := s.Routes[0]
	route.Name, route.Prefix = at("name 2", "q2"), at("prefix 2", "/q2/")
	edit(&route)
	s.Routes = append(s.Routes, route)
}

// secondTeam appends a team, changed by edit.
func secondTeam(s *State, edit func(*Team)) {
	team := Team{Name: at("team 2", "t2"), Keys: []Field[string]{at("key 2", "k2")}, Guarantee: at("guarantee 2", int64(0))}
	edit(&team)
	s.Teams = append(s.Teams, team)
}

// TestFind guards each rule: a fault must be found at its place with its severity, and what is just within a bound must not be.
func TestFind(t *testing.T) {
	tests := []struct {
		name string
		edit func(*State)
		// want lists severity and path of each finding.
		want string
	}{
		{"nothing", func(*State) {}, ""},
		{"version 0", func(s *State) { s.Version.Value = 0 }, "warning version"},
		{"version in force", func(s *State) { s.Version.Value = 1 }, "warning version"},
		{"no routes", func(s *State) { s.Routes, s.Place.Path = nil, "file" }, "warning file"},
		{"no name", func(s *State) { s.Routes[0].Name.Value = "" }, "warning name"},
		{"two routes to a queue", func(s *State) { second(s, func(r *Route) { r.Name.Value = "q" }) }, ""},
		{"one of them public", func(s *State) { second(s, func(r *Route) { r.Name.Value, r.Public = "q", true }) }, ""},
		{"other settings", func(s *State) { second(s, func(r *Route) { r.Name.Value, r.Stretch.Value = "q", 2 }) }, "error name"},
		{"same host and prefix", func(s *State) { second(s, func(r *Route) { r.Prefix.Value = "/q/" }) }, "error prefix 2"},
		{"same prefix, other host", func(s *State) { second(s, func(r *Route) { r.Prefix.Value, r.Host.Value = "/q/", "g" }) }, ""},
		{"longer prefix", func(s *State) { second(s, func(r *Route) { r.Prefix.Value = "/q/b/" }) }, ""},
		{"takes job IDs", func(s *State) { second(s, func(r *Route) { r.Prefix.Value = "/q/b" }) }, "warning prefix 2, warning prefix 2"},
		{"as long as an ID", func(s *State) { second(s, func(r *Route) { r.Prefix.Value = "/q/0123456789abcdef" }) }, "warning prefix 2, warning prefix 2"},
		{"longer than an ID", func(s *State) { second(s, func(r *Route) { r.Prefix.Value = "/q/0123456789abcdef0" }) }, "warning prefix 2"},
		{"host in upper case", func(s *State) { s.Routes[0].Host.Value = "H" }, "error host"},
		{"no host", func(s *State) { s.Routes[0].Host.Value = "" }, "warning host"},
		{"no slash", func(s *State) { s.Routes[0].Prefix.Value = "q/" }, "error prefix"},
		{"no slash at the end", func(s *State) { s.Routes[0].Prefix.Value = "/q" }, "warning prefix"},
		{"no attempts", func(s *State) { s.Routes[0].MaxAttempts.Value = 0 }, "warning attempts"},
		{"priority", func(s *State) { s.Routes[0].Priority.Value = -1 }, "warning priority"},
		{"stretch", func(s *State) { s.Routes[0].Stretch.Value = -1 }, "warning stretch"},
		{"objective over the timeout", func(s *State) { s.Routes[0].TargetMillis.Value = 2001 }, "warning timeout"},
		{"no timeout", func(s *State) { s.Routes[0].TimeoutMillis.Value = 0 }, ""},
		{"negative timeout", func(s *State) { s.Routes[0].TimeoutMillis.Value = -1 }, "warning timeout"},
		{"long objective", func(s *State) { s.Routes[0].TargetMillis.Value, s.Routes[0].TimeoutMillis.Value = maxMillis+1, 0 }, "warning target"},
		{"service missing", func(s *State) { s.Routes[0].Service.Value = "x" }, "warning service"},
		{"services missing", func(s *State) { s.ListsServices, s.Services, s.Place.Path = false, nil, "file" }, "warning file"},
		{"service twice", func(s *State) { s.Services = append(s.Services, s.Services[0]) }, "warning service name"},
		{"team without a name", func(s *State) { s.Teams[0].Name.Value = "" }, "warning team name"},
		{"team twice", func(s *State) { secondTeam(s, func(t *Team) { t.Name.Value, t.Guarantee.Value = "t", 4 }) }, "warning team name"},
		{"guarantee replaced", func(s *State) { secondTeam(s, func(t *Team) { t.Name.Value = "t" }) }, "error team name"},
		{"no key", func(s *State) { s.Teams[0].Keys = nil }, "warning team"},
		{"empty key", func(s *State) { s.Teams[0].Keys[0].Value = "" }, "warning key"},
		{"key with a space", func(s *State) { s.Teams[0].Keys[0].Value = "k " }, "warning key"},
		{"key twice", func(s *State) { s.Teams[0].Keys = append(s.Teams[0].Keys, at("again", "k")) }, "warning again"},
		{"key of two teams", func(s *State) { secondTeam(s, func(t *Team) { t.Keys[0].Value = "k" }) }, "error key 2"},
		{"fleet", func(s *State) { secondTeam(s, func(t *Team) { t.Guarantee.Value = 4 }) }, ""},
		{"over the fleet", func(s *State) { secondTeam(s, func(t *Team) { t.Guarantee.Value = 5 }) }, "error guarantee 2"},
		{"sum over any number", func(s *State) { secondTeam(s, func(t *Team) { t.Guarantee.Value = math.MaxInt64 }) }, "error guarantee 2"},
		{"over the quota", func(s *State) { s.Teams[0].Guarantee.Value = 5 }, "error guarantee"},
		{"negative guarantee", func(s *State) { s.Teams[0].Guarantee.Value = -1 }, "warning guarantee"},
		{"body limit at a body's share of the budget", func(s *State) { s.Limits.BodyBytes.Value = 750 }, ""},
		{"body limit over a body's share of the budget", func(s *State) { s.Limits.BodyBytes.Value = 751 }, "error body"},
		{"smallest body limit", func(s *State) { s.Limits.BodyBytes.Value = 20 }, ""},
		{"body limit too small", func(s *State) { s.Limits.BodyBytes.Value = 19 }, "error body"},
		{"largest number", func(s *State) { s.Limits.BodyBytes.Value = math.MaxInt64 }, "error body"},
		{"header limit", func(s *State) { s.Limits.HeaderBytes.Value = -1 }, "warning header"},
	}
	inForce := int64(1)
	for _, test := range tests {
		s := goodState()
		test.edit(s)
		var got []string
		var findings Findings
		Find(s, Bounds{GPUs: 8, BodyBudget: 1000, MinBody: 20, InForce: &inForce}, &findings)
		for _, f := range findings.Report().Findings {
			got = append(got, fmt.Sprint(f.Severity, " ", f.Path))
			if f.Text == "" || f.Fix == "" {
				t.Errorf("%s: got the finding %+v, want a text and what to do", test.name, f)
			}
		}
		if got := strings.Join(got, ", "); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

// withRoutes appends a route for each prefix.
func withRoutes(s *State, prefixes ...string) {
	for _, prefix := range prefixes {
		second(s, func(r *Route) { r.Name.Value, r.Prefix.Value = prefix, prefix })
	}
}

// behind returns a prefix followed by each digit of a job ID.
func behind(prefix string) []string {
	var prefixes []string
	for _, digit := range jobIDDigits {
		prefixes = append(prefixes, prefix+string(digit))
	}
	return prefixes
}

// TestRouteShadowedBySeveralPrefixes guards against a route that gets no jobs because several longer prefixes together take all job
// IDs: none of them does by itself. A single ID that is left makes it no error.
func TestRouteShadowedBySeveralPrefixes(t *testing.T) {
	all := behind("/q/")
	last := len(all) - 1
	tests := []struct {
		name     string
		prefixes []string
		want     int
	}{
		{"all first digits", all, 1},
		{"all but one", all[1:], 0},
		{"all but those in capitals", all[:16], 0},
		{"the last digit by its second ones", append(behind(all[last]), all[:last]...), 1},
		{"all but one second digit", append(behind(all[last])[1:], all[:last]...), 0},
		{"both of two lengths", append(behind(all[last]), all...), 2},
		{"paths below", append(behind("/q/x"), "/q/0/"), 0},
	}
	for _, test := range tests {
		s := goodState()
		withRoutes(s, test.prefixes...)
		var findings Findings
		Find(s, Bounds{}, &findings)
		if findings.Errors != test.want {
			t.Errorf("%s: got %d errors, want %d; the first finding is %v", test.name, findings.Errors, test.want, findings.Report().Findings[0])
		}
		if first := findings.Report().Findings[0]; test.want > 0 && first.Path != "prefix" && first.Path != "prefix 2" {
			t.Errorf("%s: got the finding %v, want it at a prefix", test.name, first)
		}
	}
}

// TestUnknownBounds checks that a fleet and a budget that are not known give no findings.
func TestUnknownBounds(t *testing.T) {
	s := goodState()
	s.Teams[0].Guarantee.Value, s.Teams[0].Quota.Value, s.Limits.BodyBytes.Value = 1<<40, 0, 1<<40
	var findings Findings
	Find(s, Bounds{}, &findings)
	if got := findings.Report().Findings; len(got) > 0 {
		t.Errorf("got %v, want no findings", got)
	}
}

// TestReportOrder guards the order and the number of listed findings: errors must not be cut off by warnings, and what is not kept
// must be counted.
func TestReportOrder(t *testing.T) {
	var findings Findings
	add := func(s Severity, line, column int) {
		findings.Add(s, func() Finding { return Finding{Place: Place{Line: line, Column: column}} })
	}
	const warnings = 2 * maxKept
	for i := range warnings {
		add(Warning, warnings-i, 0)
	}
	add(Error, 9000, 2)
	add(Error, 9000, 1)
	r := findings.Report()
	if r.Errors != 2 || r.Warnings != warnings || len(r.Findings) != maxFindings || r.Omitted() != warnings+2-maxFindings {
		t.Errorf("got %d errors, %d warnings, %d listed, %d omitted; want 2, %d, %d, %d", r.Errors, r.Warnings, len(r.Findings), r.Omitted(),
			warnings, maxFindings, warnings+2-maxFindings)
	}
	var got []Finding
	for _, f := range r.Findings[:4] {
		got = append(got, Finding{Place: f.Place, Severity: f.Severity})
	}
	want := []Finding{
		{Place{9000, 1, ""}, Error, "", ""},
		{Place{9000, 2, ""}, Error, "", ""},
		{Place{warnings - maxKept + 1, 0, ""}, Warning, "", ""},
		{Place{warnings - maxKept + 2, 0, ""}, Warning, "", ""},
	}
	if !slices.Equal(got, want) {
		t.Errorf("got the order %v, want %v", got, want)
	}
}

// TestDiff guards what a change is called and whom it refuses.
func TestDiff(t *testing.T) {
	tests := []struct {
		name string
		edit func(*State)
		want string
	}{
		{"nothing", func(*State) {}, ""},
		{"order", func(s *State) { s.Routes[0], s.Routes[1] = s.Routes[1], s.Routes[0] }, ""},
		{"queue removed", func(s *State) { s.Routes = s.Routes[:1] }, `- queue "q2" at h/q2/ (refuses all its callers: no queue is routed there)`},
		{"path removed below another", func(s *State) { s.Routes[0].Prefix.Value, s.Routes = "/", s.Routes[:1] }, strings.Join([]string{
			`- queue "q" at h/q/ (refuses all its callers: their requests reach queue "q", for which the job IDs are malformed)`,
			`- queue "q2" at h/q2/ (refuses all its callers: their requests reach queue "q", for which the job IDs are malformed)`,
			`+ queue "q" at h/`,
		}, "\n")},
		{"renamed", func(s *State) { s.Routes[0].Name.Value = "x" }, `~ queue "x" at h/q/: name q -> x`},
		{"priority", func(s *State) { s.Routes[0].Priority.Value = 2 }, `~ queue "q" at h/q/: priority 0 -> 2`},
		{"public", func(s *State) { s.Routes[0].Public = true }, `~ queue "q" at h/q/: public false -> true`},
		{
			"no longer public", func(s *State) { s.Routes[1].Public = false },
			`~ queue "q2" at h/q2/: public true -> false (refuses callers without an API key of a team)`,
		},
		{"service", func(s *State) { s.Services[0].Name.Value = "x" }, "- service \"s\"\n+ service \"x\""},
		{"setting", func(s *State) { s.Services[0].Settings = map[string]string{"tls": "true"} }, `~ service "s": tls unset -> true`},
		{"guarantee", func(s *State) { s.Teams[0].Guarantee.Value = 2 }, `~ team "t": guarantee 4 -> 2`},
		{"key added", func(s *State) { s.Teams[0].Keys = append(s.Teams[0].Keys, at("", "new")) }, `+ 1 API key of team "t"`},
		{"key replaced", func(s *State) { s.Teams[0].Keys = []Field[string]{at("", "new")} }, strings.Join([]string{
			`- 1 API key of team "t" (refuses their callers, except at public queues)`, `+ 1 API key of team "t"`,
		}, "\n")},
		{"key moved", func(s *State) {
			s.Teams[1].Keys, s.Teams[0].Keys = append(s.Teams[1].Keys, s.Teams[0].Keys...), nil
		}, `~ 1 API key of team "t": belong to team "t2" (refuses their callers' requests about jobs submitted before)`},
		{"team removed", func(s *State) { s.Teams = s.Teams[:1] }, strings.Join([]string{
			`- team "t2": guarantee 0`, `- 1 API key of team "t2" (refuses their callers, except at public queues)`,
		}, "\n")},
		{"lower limit", func(s *State) { s.Limits.BodyBytes.Value = 50 }, `~ limits: body bytes 100 -> 50 (refuses requests with larger bodies)`},
		{"higher limit", func(s *State) { s.Limits.BodyBytes.Value = 200 }, `~ limits: body bytes 100 -> 200`},
		{"limit no longer set", func(s *State) { s.Limits.HeaderBytes.Value = 0 }, `~ limits: header bytes 10 -> 0`},
	}
	state := func() *State {
		s := goodState()
		second(s, func(r *Route) { r.Public = true })
		secondTeam(s, func(*Team) {})
		s.Limits.HeaderBytes.Value = 10
		return s
	}
	for _, test := range tests {
		changed := state()
		test.edit(changed)
		var lines []string
		for _, c := range Diff(state(), changed) {
			lines = append(lines, c.String())
		}
		if got := strings.Join(lines, "\n"); got != test.want {
			t.Errorf("%s: got\n%s\nwant\n%s", test.name, got, test.want)
		}
	}
}
