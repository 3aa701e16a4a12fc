// Package route chooses the agent for each attempt, by nearness, load and failures, within a budget for retries and one for
// bytes between regions.
package route
