package check

import (
	"fmt"
	"maps"
	"slices"
)

// Change is one difference between the state in force and a new one, in the operator's terms.
type Change struct {
	// Kind is added, changed or removed.
	Kind Kind `json:"kind"`
	// Subject is what changes, for example queue "urgent" at host/prefix.
	Subject string `json:"subject"`
	// Text has the old and the new value of a change; it may be empty.
	Text string `json:"text,omitempty"`
	// Refuses says which callers are refused because of the change; it is empty if there are none.
	Refuses string `json:"refuses,omitempty"`
}

// Kind is what happens to the subject of a change.
type Kind string

// Kinds of changes.
const (
	Added   Kind = "added"
	Changed Kind = "changed"
	Removed Kind = "removed"
)

// String formats the change with + for added, - for removed and ~ for changed subjects.
func (c Change) String() string {
	text := map[Kind]string{Added: "+ ", Changed: "~ ", Removed: "- "}[c.Kind] + c.Subject
	if c.Text != "" {
		text += ": " + c.Text
	}
	if c.Refuses != "" {
		text += " (refuses " + c.Refuses + ")"
	}
	return text
}

// differ collects changes.
type differ struct{ changes []Change }

func (d *differ) add(kind Kind, subject, text, refuses string) {
	d.changes = append(d.changes, Change{kind, subject, text, refuses})
}

// compare adds a change if two values differ.
func compare[T comparable](d *differ, subject, name string, old, new T, refuses string) {
	if old != new {
		d.add(Changed, subject, fmt.Sprintf("%s %v -> %v", name, old, new), refuses)
	}
}

// Diff returns the changes from the state in force to a new one: queues, services, teams with their keys and guarantees, limits.
func Diff(old, new *State) []Change {
	d := &differ{}
	d.routes(old.Routes, new.Routes)
	d.services(old.Services, new.Services)
	d.teams(old.Teams, new.Teams)
	d.limits(&old.Limits, &new.Limits)
	return d.changes
}

// firstRoutes returns the route that gets the requests of each host and prefix.
func firstRoutes(routes []Route) map[hostAndPrefix]*Route {
	first := map[hostAndPrefix]*Route{}
	for i := range routes {
		if key := routes[i].selector(); first[key] == nil {
			first[key] = &routes[i]
		}
	}
	return first
}

func (r *Route) subject() string {
	return fmt.Sprintf("queue %q at %s%s", r.Name.Value, r.Host.Value, r.Prefix.Value)
}

func (d *differ) routes(old, new []Route) {
	before, after := firstRoutes(old), firstRoutes(new)
	for i := range old {
		route := &old[i]
		if before[route.selector()] == route && after[route.selector()] == nil {
			d.add(Removed, route.subject(), "", removedPath(route.selector(), after))
		}
	}
	for i := range new {
		route := &new[i]
		if after[route.selector()] != route {
			continue
		}
		if earlier := before[route.selector()]; earlier != nil {
			d.route(earlier, route)
		} else {
			d.add(Added, route.subject(), "", "")
		}
	}
}

// removedPath says how requests of a removed host and prefix are refused.
func removedPath(key hostAndPrefix, after map[hostAndPrefix]*Route) string {
	for n := len(key.prefix) - 1; n >= 0; n-- {
		if route := after[hostAndPrefix{key.host, key.prefix[:n]}]; route != nil {
			return fmt.Sprintf("all its callers: their requests reach queue %q, for which the job IDs are malformed", route.Name.Value)
		}
	}
	return "all its callers: no queue is routed there"
}

func (d *differ) route(old, new *Route) {
	subject := new.subject()
	compare(d, subject, "name", old.Name.Value, new.Name.Value, "")
	compare(d, subject, "service", old.Service.Value, new.Service.Value, "")
	compare(d, subject, "priority", old.Priority.Value, new.Priority.Value, "")
	compare(d, subject, "maximum of attempts", old.MaxAttempts.Value, new.MaxAttempts.Value, "")
	compare(d, subject, "stretch", old.Stretch.Value, new.Stretch.Value, "")
	compare(d, subject, "latency objective in ms", old.TargetMillis.Value, new.TargetMillis.Value, "")
	compare(d, subject, "timeout in ms", old.TimeoutMillis.Value, new.TimeoutMillis.Value, "")
	refuses := ""
	if old.Public {
		refuses = "callers without an API key of a team"
	}
	compare(d, subject, "public", old.Public, new.Public, refuses)
	compare(d, subject, "requires tickets", old.RequiresTicket, new.RequiresTicket, "")
	compare(d, subject, "type", old.Type, new.Type, "")
	compare(d, subject, "allowed regions", old.Regions, new.Regions, "")
}

func (d *differ) services(old, new []Service) {
	before, after := map[string]*Service{}, map[string]*Service{}
	for i := range old {
		before[old[i].Name.Value] = &old[i]
	}
	for i := range new {
		after[new[i].Name.Value] = &new[i]
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if after[name] == nil {
			d.add(Removed, fmt.Sprintf("service %q", name), "", "")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		subject := fmt.Sprintf("service %q", name)
		if before[name] == nil {
			d.add(Added, subject, "", "")
			continue
		}
		was, is := before[name].Settings, after[name].Settings
		settings := map[string]string{}
		maps.Copy(settings, was)
		maps.Copy(settings, is)
		for _, setting := range slices.Sorted(maps.Keys(settings)) {
			compare(d, subject, setting, valueOrUnset(was, setting), valueOrUnset(is, setting), "")
		}
	}
}

func valueOrUnset(settings map[string]string, name string) string {
	if value, ok := settings[name]; ok {
		return value
	}
	return "unset"
}

// lastTeams returns the declaration of each team that is in force, the last one, and the team of each API key.
func lastTeams(teams []Team) (byName map[string]*Team, byKey map[string]string) {
	byName, byKey = map[string]*Team{}, map[string]string{}
	for i := range teams {
		byName[teams[i].Name.Value] = &teams[i]
		for _, key := range teams[i].Keys {
			byKey[key.Value] = teams[i].Name.Value
		}
	}
	return byName, byKey
}

func (d *differ) teams(old, new []Team) {
	before, keysBefore := lastTeams(old)
	after, keysAfter := lastTeams(new)
	added, removed, moved := map[string]int{}, map[string]int{}, map[[2]string]int{}
	for key, team := range keysBefore {
		owner, kept := keysAfter[key]
		switch {
		case !kept:
			removed[team]++
		case owner != team:
			moved[[2]string{team, owner}]++
		}
	}
	for key, team := range keysAfter {
		if _, known := keysBefore[key]; !known {
			added[team]++
		}
	}
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		was, is := before[name], after[name]
		subject := fmt.Sprintf("team %q", name)
		switch {
		case was == nil:
			d.add(Added, subject, fmt.Sprintf("guarantee %d", is.Guarantee.Value), "")
		case is == nil:
			d.add(Removed, subject, fmt.Sprintf("guarantee %d", was.Guarantee.Value), "")
		default:
			compare(d, subject, "guarantee", was.Guarantee.Value, is.Guarantee.Value, "")
			compare(d, subject, "priority", was.Priority, is.Priority, "")
			compare(d, subject, "allowed regions", was.Regions, is.Regions, "")
		}
		if n := removed[name]; n > 0 {
			d.add(Removed, fmt.Sprintf("%s of team %q", countKeys(n), name), "", "their callers, except at public queues")
		}
		if n := added[name]; n > 0 {
			d.add(Added, fmt.Sprintf("%s of team %q", countKeys(n), name), "", "")
		}
	}
	pairs := slices.SortedFunc(maps.Keys(moved), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	for _, pair := range pairs {
		d.add(Changed, fmt.Sprintf("%s of team %q", countKeys(moved[pair]), pair[0]), fmt.Sprintf("belong to team %q", pair[1]),
			"their callers' requests about jobs submitted before")
	}
}

// countKeys returns the number of API keys; the keys themselves are secrets.
func countKeys(n int) string {
	if n == 1 {
		return "1 API key"
	}
	return fmt.Sprintf("%d API keys", n)
}

func (d *differ) limits(old, new *Limits) {
	d.limit("body bytes", old.BodyBytes.Value, new.BodyBytes.Value, "requests with larger bodies")
	d.limit("header bytes", old.HeaderBytes.Value, new.HeaderBytes.Value, "requests with larger headers, where the limit is enforced")
	d.limit("header timeout in ms", old.HeaderTimeoutMillis.Value, new.HeaderTimeoutMillis.Value, "callers that send headers more slowly, where the limit is enforced")
	d.limit("idle timeout in ms", old.IdleTimeoutMillis.Value, new.IdleTimeoutMillis.Value, "")
}

// limit adds a change of a limit; refuses says who is refused if it gets lower. A limit of 0 is not set, and the default that then holds
// is not known here, so that such a change names nobody.
func (d *differ) limit(name string, old, new int64, refuses string) {
	if new > old || new == 0 {
		refuses = ""
	}
	compare(d, "limits", name, old, new, refuses)
}
