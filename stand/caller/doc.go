// Package caller is a load generator: it sends requests at a fixed rate, verifies each answer and prints a summary.
package caller
