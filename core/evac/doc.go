// Package evac holds the set of evacuated data centres, in which nothing may be started, as a listing and the changes of the
// store lead to it (Set), and decides whether a set is current enough to place tasks by it (Gate).
package evac
