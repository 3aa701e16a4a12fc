package owner

import (
	"time"

	"wagtailhoist/core/room"
	"wagtailhoist/io/clock"
)

// ownForecast is a forecast with the time at which it was made.
type ownForecast struct {
	room.Forecast

	madeAt time.Time
}

// Forecast returns the latest forecast with its age, and false if this entry isn't the owner or has none that is current.
func (o *Owner) Forecast() (room.Forecast, bool) {
	now := clock.Now()
	f := o.forecast.Load()
	if f == nil || !o.IsOwner(now) || now.Sub(f.madeAt) > room.Validity {
		return room.Forecast{}, false
	}
	sent := f.Forecast
	sent.Age = now.Sub(f.madeAt)
	return sent, true
}

// updateForecast makes a forecast if one is due. Without evacuation requests that are current, nothing is placed, and nobody knows when
// that changes.
func (t *term) updateForecast(now time.Time) {
	if !t.owner.Forecasts || !t.forecasts.Due(now) || !t.mayPlace(now) {
		return
	}
	f, ok := t.scheduler.Forecast(now)
	t.forecasts.Record(now, clock.Now())
	if !ok {
		return
	}
	t.forecastNumber++
	f.Fence, f.Number = t.fence, t.forecastNumber
	t.owner.forecast.Store(&ownForecast{f, now})
}
