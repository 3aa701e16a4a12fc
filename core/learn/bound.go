package learn

import (
	"maps"
	"slices"
)

// queue returns what is known of a queue, which is added if necessary.
func (m *Model) queue(name string) *queue {
	q := m.queues[name]
	if q == nil {
		if m.queues == nil {
			m.queues = map[string]*queue{}
		}
		if len(m.queues) >= maxQueues {
			m.deleteQueue(oldest(m.queues, func(q *queue) uint64 { return q.used }))
		}
		q = &queue{teams: map[string]*team{}, kinds: map[string]*deviation{}, variance: priorSpread * priorSpread, slope: 1}
		m.queues[name] = q
	}
	q.used = m.uses
	return q
}

func (m *Model) deleteQueue(name string) {
	q := m.queues[name]
	for id := range q.teams {
		m.deleteTeam(q, id)
	}
	delete(m.queues, name)
}

func (m *Model) deleteTeam(q *queue, name string) {
	m.teams--
	t := q.teams[name]
	m.images -= len(t.images)
	delete(q.teams, name)
	q.order = slices.DeleteFunc(q.order, func(other *team) bool { return other == t })
}

// team returns what is known of a team in a queue. It is added if necessary, in place of the least recently used one if there
// are too many.
func (m *Model) team(q *queue, name string) *team {
	t := q.teams[name]
	if t == nil {
		if m.teams >= maxTeams {
			m.evictTeam()
		}
		t = &team{}
		q.teams[name] = t
		q.order = append(q.order, t)
		m.teams++
	}
	t.used = m.uses
	return t
}

// evictTeam deletes the least recently used team of all queues.
func (m *Model) evictTeam() {
	var from *queue
	var name string
	for _, id := range slices.Sorted(maps.Keys(m.queues)) {
		q := m.queues[id]
		if len(q.teams) == 0 {
			continue
		}
		team := oldest(q.teams, func(t *team) uint64 { return t.used })
		if from == nil || q.teams[team].used < from.teams[name].used {
			from, name = q, team
		}
	}
	m.deleteTeam(from, name)
}

// image returns what is known of an image of a team. It is added if necessary, in place of the least recently used one of the
// team if there are too many in all. Each team may have one, so that there are at most maxImages + maxTeams.
func (m *Model) image(t *team, name string) *deviation {
	d := t.images[name]
	if d == nil {
		if t.images == nil {
			t.images = map[string]*deviation{}
		}
		if m.images >= maxImages && len(t.images) > 0 {
			delete(t.images, oldest(t.images, func(d *deviation) uint64 { return d.used }))
			m.images--
		}
		d = &deviation{}
		t.images[name] = d
		m.images++
	}
	d.used = m.uses
	return d
}

// kind returns what is known of a kind of worker in a queue, which is added if necessary.
func (m *Model) kind(q *queue, name string) *deviation {
	d := q.kinds[name]
	if d == nil {
		if len(q.kinds) >= maxKinds {
			delete(q.kinds, oldest(q.kinds, func(d *deviation) uint64 { return d.used }))
		}
		d = &deviation{}
		q.kinds[name] = d
	}
	d.used = m.uses
	return d
}

// oldest returns the name of the element that was used least recently, and of those the first by name.
func oldest[T any](all map[string]T, used func(T) uint64) string {
	best, found := "", false
	for name, v := range all {
		if !found || used(v) < used(all[best]) || used(v) == used(all[best]) && name < best {
			best, found = name, true
		}
	}
	return best
}
