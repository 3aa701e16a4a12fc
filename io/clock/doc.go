// Package clock reads the clock by which leases are judged.
package clock
