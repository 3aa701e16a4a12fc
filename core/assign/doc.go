// Package assign chooses the cell that holds each guarantee.
//
// Each cell keeps the anchors of its own guarantees, so the guarantees of one cell have to fit together on its
// workers. The choice is made when a declaration is written and is kept with it, so that every process has the same.
package assign
