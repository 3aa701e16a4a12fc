// Package agent runs beside a minion: it announces the minion to the entries and runs attempts against it.
package agent
