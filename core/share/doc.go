// Package share tracks how much each team has used recently, for an order in which teams take turns.
//
// It has no input, output or clock; the time is passed to each function.
package share
