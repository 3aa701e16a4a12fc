package replay

import (
	"math"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/learn"
	"wagtailhoist/core/room"
)

// fence is that of the only owner of a day.
const fence = 1

// decision is the entry's answer to a submission.
type decision struct {
	at      time.Time
	class   *Class
	refused bool
}

// submit submits a job at an entry, which refuses it if the load asks for that and the forecast says so. A refused caller returns as it
// was told, and gives up when its result would be of no use any more.
func (d *day) submit(j *submitted) {
	if j.cancelled {
		return
	}
	j.QueueConfig = d.load.queue(j.class)
	if d.load.RefuseLate {
		refusal, refused := d.decideAdmission(j)
		d.decisions = append(d.decisions, decision{d.now, j.class, refused})
		if refused {
			j.refusals++
			// Retry-After has whole seconds.
			retry := time.Duration(math.Ceil(refusal.RetryAfter.Seconds())) * time.Second
			if d.now.Add(retry + j.work).Before(j.at.Add(lateFactor * j.objective())) {
				d.after(retry, func() { d.submit(j) })
			}
			return
		}
	}
	j.acceptedAt, j.Accepted = d.now, d.now.UnixMilli()
	d.scheduler.UpdateJob(d.now, d.now, j.ID, &batch.JobRecord{Job: &j.Job})
	if !d.load.RefuseLate {
		return
	}
	sent, link := d.now, seconds(d.load.Fleet.Link)
	d.after(link, func() {
		if d.paused || d.forecast.Fence == 0 {
			return
		}
		f := d.forecast
		f.Age = d.now.Sub(d.start.Add(f.Age))
		d.after(link, func() { d.admission.Update(d.now, sent, f, fence) })
	})
}

// decideAdmission decides on a submission as an entry does. What the owner has learned reaches entries within seconds; here at once.
func (d *day) decideAdmission(j *submitted) (room.Refusal, bool) {
	request, refusable := room.NewRequest(&j.Job, d.load.Guarantee, func(step int) time.Duration {
		p := d.scheduler.Learned().Predict(learn.Key{Queue: j.Queue, Team: string(j.Team)}, j.Steps[step].Estimate)
		return p.Expected()
	})
	if !refusable {
		return room.Refusal{}, false
	}
	return d.admission.Decide(d.now, fence, &request)
}

// updateForecast makes the owner's forecast if one is due. Its age holds the time at which it was made, from the start of the day.
func (d *day) updateForecast() {
	if !d.load.RefuseLate || !d.forecasts.Due(d.now) {
		return
	}
	f, ok := d.scheduler.Forecast(d.now)
	d.forecasts.Record(d.now, d.now)
	if ok {
		f.Fence, f.Number, f.Age = fence, d.forecast.Number+1, d.now.Sub(d.start)
		d.forecast = f
	}
}
