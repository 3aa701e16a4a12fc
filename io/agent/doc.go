// Package agent runs beside a minion: it announces the minion to the entries and runs the entries' attempts at the minion.
package agent
