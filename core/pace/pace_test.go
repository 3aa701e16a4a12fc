package pace

import (
	"testing"
	"time"
)

var epoch = time.UnixMilli(1_000_000)

// replayOverload plays an owner to which reports come faster than it plans, and returns the share of the time that plans
// take and the longest time without any.
func replayOverload(cost time.Duration) (share float64, longest time.Duration) {
	var p Plans
	now, end := epoch, epoch.Add(time.Minute)
	var planning time.Duration
	last := now
	for now.Before(end) {
		if !p.Due(now, true) {
			now = now.Add(time.Millisecond)
			continue
		}
		longest = max(longest, now.Sub(last))
		p.Record(now, now.Add(cost))
		now = now.Add(cost)
		planning += cost
		last = now
	}
	return float64(planning) / float64(time.Minute), longest
}

// On a VM that is too slow for its fleet, plans in a row left no time for reports: workers lost their leases.
func TestPlansLeaveTimeUnderOverload(t *testing.T) {
	for _, cost := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		share, longest := replayOverload(cost)
		if share > 0.36 {
			t.Errorf("plans of %v take %.2f of the time, want a third at most", cost, share)
		}
		if longest > MaxInterval+2*time.Millisecond {
			t.Errorf("longest time without a plan of %v: got %v, want at most %v", cost, longest, MaxInterval)
		}
	}
}

// Without changes, plans are still made now and then: deadlines and quarantines pass.
func TestPlansAreMadeWithoutChanges(t *testing.T) {
	var p Plans
	p.Record(epoch, epoch)
	if p.Due(epoch.Add(MaxInterval), false) || !p.Due(epoch.Add(MaxInterval+1), false) {
		t.Errorf("a plan without changes must be due after %v and not before", MaxInterval)
	}
	if got, want := p.Wait(epoch, false), MaxInterval; got != want {
		t.Errorf("wait without changes: got %v, want %v", got, want)
	}
	if got := p.Wait(epoch, true); got < MinPause {
		t.Errorf("wait after a plan: got %v, want at least %v", got, MinPause)
	}
}

// A store that answers after 200 ms got one commit at a time, so that a burst of 400 starts in commits of 15 took 5.4 s.
func TestSlowStoreGetsCommitsSideBySide(t *testing.T) {
	const commits, answer = 27, 200 * time.Millisecond
	var c Commits
	now, sent := epoch, 0
	var answers []time.Time
	for done := 0; done < commits; now = now.Add(time.Millisecond) {
		for len(answers) > 0 && !now.Before(answers[0]) {
			answers = answers[1:]
			done++
			c.End(now, false)
		}
		if sent < commits && c.Allowed(now) {
			sent++
			c.Begin(now)
			answers = append(answers, now.Add(answer))
		}
		if len(answers) > MaxCommits {
			t.Fatalf("got %d commits under way, want at most %d", len(answers), MaxCommits)
		}
	}
	if got, want := now.Sub(epoch), time.Second; got > want {
		t.Errorf("a burst was stored after %v, want at most %v", got, want)
	}
}

// A store that refuses must not get a commit as often as the loop turns.
func TestFailedCommitIsFollowedByAPause(t *testing.T) {
	var c Commits
	c.Begin(epoch)
	c.End(epoch, true)
	if c.Allowed(epoch.Add(failurePause-1)) || !c.Allowed(epoch.Add(failurePause)) || !c.Idle() {
		t.Errorf("a commit after a failed one must be allowed after %v and not before", failurePause)
	}
}

// replayForecasts plays an owner that plans every interval, and returns the number of forecasts in a minute and their time as a share
// of that of the plans.
func replayForecasts(plan, forecast, interval time.Duration) (count int, share float64) {
	var f Forecasts
	var plans, forecasts time.Duration
	for now := epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(interval) {
		f.RecordPlan(plan)
		plans += plan
		if f.Due(now) {
			f.Record(now, now.Add(forecast))
			forecasts += forecast
			count++
		}
	}
	return count, float64(forecasts) / float64(plans)
}

// Forecasts must not take the time of plans where plans are frequent, and must not fail to come where they are rare: entries use one
// for 2 s.
func TestForecastsTakeLittleOfThePlans(t *testing.T) {
	const ms = time.Millisecond
	if count, share := replayForecasts(ms, ms, 20*ms); share > 0.11 || count < 100 {
		t.Errorf("cheap: got %d forecasts, share %.3f; want at least 100 with at most 0.11", count, share)
	}
	if count, share := replayForecasts(ms, 4*ms, 50*ms); share > 0.21 || count < 59 || count > 121 {
		t.Errorf("dear: got %d forecasts, share %.3f; want 59 to 121 with at most 0.21", count, share)
	}
	if count, _ := replayForecasts(ms, 0, 10*ms); count > 120 {
		t.Errorf("free: got %d forecasts in a minute, want at most 120", count)
	}
	if count, _ := replayForecasts(0, ms, 300*ms); count < 49 {
		t.Errorf("without plans: got %d forecasts in a minute, want at least 49", count)
	}
}
