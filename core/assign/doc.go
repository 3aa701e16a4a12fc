// Package assign chooses the cell that holds each guarantee.
//
// Each cell holds the workers for its own guarantees, so the guarantees of one cell have to fit on its workers together.
// The cells are chosen when a declaration is stored, and are stored with it, so that every process has the same choice.
package assign
