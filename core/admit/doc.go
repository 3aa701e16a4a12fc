// Package admit decides which requests may run, wait or have to be refused, by team.
package admit
