// Package queue blocks requests until core/admit admits them.
package queue
