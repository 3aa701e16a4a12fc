// Package decl parses, validates, compares and formats declarations: the YAML documents in which operators state
// the policy and each team's weight, quota and guarantees.
package decl
