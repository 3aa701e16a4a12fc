// Package queue makes requests wait for the place that core/admit gives them.
package queue
