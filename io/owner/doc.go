// Package owner elects one entry that decides, and carries out its decisions: it stores records and sends orders to agents.
package owner
