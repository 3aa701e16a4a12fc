// Package runner is the agent beside a worker: it carries out the owner's orders to start and stop runs there, extends
// their lease and stops them when it ends, and reports to the owner what runs and what has ended.
package runner
