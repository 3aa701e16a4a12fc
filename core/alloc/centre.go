package alloc

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

const (
	// unconfirmedLimit is how long a run in an evacuated data centre may be missing from its worker's lists before it is stopped.
	// A start that was on its way is listed within a second, as lists are that old at most.
	unconfirmedLimit = time.Second
	// evacuationRefusalPause is the time for which a worker gets no tasks after its agent has refused one because of an
	// evacuation that isn't known here. A watch delivers it within milliseconds as a rule.
	evacuationRefusalPause = 500 * time.Millisecond
	// unknownCentreTime is how long a data centre may be evacuated without any known worker before it is reported as unknown.
	// After an election the agents connect to the new owner within about two seconds.
	unknownCentreTime = 5 * time.Second
)

// evacuation is the state of an evacuated data centre.
type evacuation struct {
	// since is when the scheduler learned of it.
	since time.Time
	// announced reports whether a worker there was known, so that the evacuation was reported; unknown whether the data centre
	// was reported as unknown.
	announced, unknown bool
	// runs is the number of runs that were left there when it was last counted.
	runs int
}

// SetEvacuated replaces the evacuated data centres. Nothing is started in them; what runs there goes on. An empty name has no
// effect.
func (s *Scheduler) SetEvacuated(now time.Time, centres []string) {
	next := map[string]*evacuation{}
	changed := false
	for _, centre := range centres {
		if centre == "" {
			continue
		}
		next[centre] = s.evacuated[centre]
		if next[centre] == nil {
			next[centre] = &evacuation{since: now}
			changed = true
		}
	}
	for _, centre := range slices.Sorted(maps.Keys(s.evacuated)) {
		if next[centre] == nil {
			changed = true
			if e := s.evacuated[centre]; e.announced {
				runs, _, _ := s.runsInCentre(centre)
				s.traceCentre("data centre returned to service", centre, runs, now.Sub(e.since))
			}
		}
	}
	if !changed {
		return
	}
	s.evacuated = next
	for _, w := range s.sorted {
		s.updateCentre(w)
	}
	s.needsPlan = true
}

// updateCentre notes whether a worker's data centre is evacuated, and in which data centre its rack is.
func (s *Scheduler) updateCentre(w *worker) {
	if rack := w.rack(); rack != "" && w.Centre != "" {
		s.racks[rack] = w.Centre
	}
	evacuated := s.evacuated[w.Centre] != nil
	if evacuated == w.evacuated {
		return
	}
	w.evacuated = evacuated
	// After its return to service, tasks start there again at once.
	if w.delays != nil {
		w.delays.refusedUntil = time.Time{}
	}
	for _, t := range w.runs {
		t.unconfirmedSince = time.Time{}
	}
	s.touch(w)
	s.needsPlan = true
}

// EnforceEvacuation takes back the placements in evacuated data centres that have not started, and reports what has changed
// there. It is called at short intervals.
func (s *Scheduler) EnforceEvacuation(now, wall time.Time) {
	if len(s.evacuated) == 0 {
		s.reportGuarantees()
		return
	}
	for _, w := range slices.Clone(s.sorted) {
		if !w.evacuated || !w.hasUnconfirmedRuns() {
			continue
		}
		for _, id := range w.sortedRuns() {
			if t := w.runs[id]; t != nil && t.unconfirmed() {
				s.withdrawUnconfirmed(now, wall, w, t)
			}
		}
	}
	for _, centre := range slices.Sorted(maps.Keys(s.evacuated)) {
		s.reportCentre(now, centre)
	}
	s.reportGuarantees()
}

// unconfirmed reports whether the worker has not listed the run, and no stop is ordered.
func (t *task) unconfirmed() bool { return !t.confirmed && !t.mustStop }

func (w *worker) hasUnconfirmedRuns() bool {
	for _, t := range w.runs {
		if t.unconfirmed() {
			return true
		}
	}
	return false
}

// withdrawUnconfirmed takes back the placement of a run that its worker hasn't listed: at once if its start was never sent, and
// otherwise by a stop after unconfirmedLimit, since the run may exist.
func (s *Scheduler) withdrawUnconfirmed(now, wall time.Time, w *worker, t *task) {
	switch {
	case !t.sent:
		s.withdraw(now, wall, w, t)
	case !w.listed || w.session == 0:
		// The worker may have the run; its lists are yet to come.
		t.unconfirmedSince = time.Time{}
	case t.unconfirmedSince.IsZero():
		t.unconfirmedSince = now
	case now.Sub(t.unconfirmedSince) >= unconfirmedLimit:
		s.orderStop(t)
		s.traceStop(t, "not started before its data centre was evacuated")
	}
}

// withdraw takes back a placement whose start was never sent, together with those of the other members of its gang.
func (s *Scheduler) withdraw(now, wall time.Time, w *worker, t *task) {
	withdrawn := []*task{t}
	if t.job.job.Steps[t.Step].Gang {
		for _, m := range t.job.gangMembers(t) {
			if m != t && m.Phase == batch.TaskPlaced && !m.sent {
				withdrawn = append(withdrawn, m)
			}
		}
	}
	s.needsPlan = true
	for _, m := range withdrawn {
		s.trace("withdrawn", batch.RunID{Task: m.id(m.job), Run: m.Run}, m.Worker, "data centre "+w.Centre+" is evacuated")
		s.finishRun(now, wall, s.worker(m.Worker), m, batch.EndNeverStarted)
	}
}

// runsInCentre returns the number of runs in a data centre, whether any worker there has reported, and whether there are runs on
// workers of which the data centre isn't known because they have not reported in this term.
func (s *Scheduler) runsInCentre(centre string) (runs int, known, unreported bool) {
	for _, w := range s.sorted {
		switch {
		case w.session == 0:
			unreported = unreported || len(w.runs) > 0
		case w.Centre == centre:
			known = true
			runs += len(w.runs) + len(w.foreign)
		}
	}
	return runs, known, unreported
}

// reportCentre reports an evacuated data centre once, and the end of its last run.
func (s *Scheduler) reportCentre(now time.Time, centre string) {
	e := s.evacuated[centre]
	age := now.Sub(e.since)
	runs, known, unreported := s.runsInCentre(centre)
	switch {
	case !e.announced && known && (!unreported || age > unknownCentreTime):
		e.announced = true
		s.traceCentre("data centre evacuated", centre, runs, age)
	case !e.announced && !known && !e.unknown && age > unknownCentreTime:
		e.unknown = true
		s.traceCentre("evacuated data centre has no worker", centre, 0, age)
	case e.announced && e.runs > 0 && runs == 0 && !unreported:
		s.traceCentre("last run in evacuated data centre ended", centre, 0, age)
	}
	if runs > 0 || !unreported {
		e.runs = runs
	}
}

// traceCentre reports an event of an evacuated data centre.
func (s *Scheduler) traceCentre(kind, centre string, runs int, since time.Duration) {
	if s.Trace != nil {
		s.Trace(Event{Kind: kind, Centre: centre, Runs: runs, Since: since})
	}
}

// reportGuarantees reports the guarantees that no longer fit on the ready workers because of evacuated data centres, and those
// that fit again. Guarantees are counted by the names of their teams.
func (s *Scheduler) reportGuarantees() {
	if len(s.evacuated) == 0 && len(s.shortTeams) == 0 {
		return
	}
	var remaining, lost int64
	for _, w := range s.sorted {
		switch {
		case !w.ready(w.Service):
		case w.evacuated:
			lost += w.Capacity.GPU
		default:
			remaining += w.Capacity.GPU
		}
	}
	centres := strings.Join(slices.Sorted(maps.Keys(s.evacuated)), ", ")
	short := map[model.Team]bool{}
	var guaranteed int64
	for _, name := range slices.Sorted(maps.Keys(s.policy.Teams)) {
		guarantee := s.policy.Teams[name].Guarantee
		if guarantee <= 0 {
			continue
		}
		guaranteed += guarantee
		if lost > 0 && guaranteed > remaining {
			short[name] = true
		}
		if short[name] != s.shortTeams[name] && s.Trace != nil {
			kind, detail := "guarantee has its capacity again", ""
			if short[name] {
				kind = "guarantee lost capacity"
				detail = fmt.Sprintf("%d accelerators are guaranteed up to this team, %d are in service", guaranteed, remaining)
			}
			s.Trace(Event{Kind: kind, Team: name, Centre: centres, Detail: detail})
		}
	}
	s.shortTeams = short
}

// workersInService returns the number of workers outside of evacuated data centres.
func (s *Scheduler) workersInService() int {
	n := len(s.sorted)
	if len(s.evacuated) > 0 {
		for _, w := range s.sorted {
			if w.evacuated {
				n--
			}
		}
	}
	return n
}

// rackKey identifies the workers of a service on a rack.
type rackKey struct{ service, rack string }

// rackEvacuated reports whether a rack can't be used by a service because its data centre is evacuated and no ready worker of
// the rack is in another one. The rack's workers may have left since.
func (p *plan) rackEvacuated(service, rack string) bool {
	if len(p.evacuated) == 0 || rack == "" {
		return false
	}
	key := rackKey{service, rack}
	evacuated, cached := p.evacuatedRacks[key]
	if cached {
		return evacuated
	}
	evacuated = p.evacuated[p.racks[rack]] != nil
	for _, w := range p.sorted {
		if w.rack() != rack {
			continue
		}
		if w.evacuated {
			evacuated = true
		} else if w.ready(service) {
			evacuated = false
			break
		}
	}
	if p.evacuatedRacks == nil {
		p.evacuatedRacks = map[rackKey]bool{}
	}
	p.evacuatedRacks[key] = evacuated
	return evacuated
}
