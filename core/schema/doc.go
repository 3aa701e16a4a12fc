// Package schema reads JSON texts with the positions of their values, and validates them against a schema of names and types. Each
// finding has the place in the text that it is about. It also counts the elements of arrays without decoding them.
package schema
