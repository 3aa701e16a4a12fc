// Package runner carries out the owner's orders at one worker and reports what runs there.
package runner
