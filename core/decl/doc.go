// Package decl parses, validates, compares and formats declarations: the YAML documents in which operators state
// the policy, each team's weight, quota and guarantees, and the evacuated data centres.
package decl
