// Package route chooses the agent for each attempt within budgets for retries and bytes between regions.
package route
