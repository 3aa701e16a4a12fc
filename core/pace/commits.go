package pace

import "time"

const (
	// MaxCommits bounds the commits under way.
	MaxCommits = 8
	// commitSpacing is how long after a commit the next one goes out although its answer is missing; the store usually
	// answers sooner, and the changes that come up meanwhile share a commit.
	commitSpacing = 20 * time.Millisecond
	// failurePause is the pause after a change that couldn't be stored.
	failurePause = 60 * time.Millisecond
)

// Commits decides when a commit goes out. It is for a slow store, for whose answers a burst of starts would otherwise wait one
// after the other. Its zero value has no commits under way.
type Commits struct {
	underWay       int
	begunAt, retry time.Time
}

// Allowed reports whether a commit may go out now.
func (c *Commits) Allowed(now time.Time) bool {
	return c.underWay < MaxCommits && (c.underWay == 0 || now.Sub(c.begunAt) >= commitSpacing) && !now.Before(c.retry)
}

// Idle reports whether no commit is under way.
func (c *Commits) Idle() bool { return c.underWay == 0 }

// Begin records that a commit goes out.
func (c *Commits) Begin(now time.Time) {
	c.underWay++
	c.begunAt = now
}

// End records the result of a commit. After a failure, the next one waits.
func (c *Commits) End(now time.Time, failed bool) {
	c.underWay--
	if failed {
		c.retry = now.Add(failurePause)
	}
}
