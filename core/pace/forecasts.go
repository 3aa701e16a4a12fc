package pace

import "time"

const (
	// MinForecastInterval is the shortest interval between two forecasts.
	MinForecastInterval = 500 * time.Millisecond
	// maxForecastInterval is the interval after which a forecast is made whatever it costs: entries use one for 2 s.
	maxForecastInterval = time.Second
	// forecastFactor is how many times as long as forecasts plans take, if forecasts come more often than maxForecastInterval.
	forecastFactor = 10
)

// Forecasts decides when the owner makes a forecast, so that forecasts take little of the time that is for plans. Its zero value
// allows one at once.
type Forecasts struct {
	begunAt time.Time
	// plans and spent are the times that plans and forecasts have taken lately.
	plans, spent time.Duration
}

// Due reports whether a forecast is to be made now.
func (f *Forecasts) Due(now time.Time) bool {
	since := now.Sub(f.begunAt)
	return since >= maxForecastInterval || since >= MinForecastInterval && forecastFactor*f.spent <= f.plans
}

// RecordPlan records the duration of a plan.
func (f *Forecasts) RecordPlan(d time.Duration) { f.plans += d }

// Record records a forecast that was made.
func (f *Forecasts) Record(begin, end time.Time) {
	f.begunAt = begin
	f.spent = (f.spent + end.Sub(begin)) / 2
	f.plans /= 2
}
