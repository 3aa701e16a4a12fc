// Package decl reads, checks, compares and writes the operators' declarations.
package decl
