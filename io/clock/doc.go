// Package clock reads the boot-time clock, by which the expiry of leases is determined.
package clock
