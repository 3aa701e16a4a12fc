// Package caller sends requests at a rate, verifies each answer and prints a summary.
package caller
