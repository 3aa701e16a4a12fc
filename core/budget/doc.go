// Package budget decides which request bodies may take memory, and which are evicted when the memory is used up.
//
// Bodies belong to holders: the team of a request, or the client's address where there is no team. While the budget is full,
// the holder with the most bytes loses the body that has gone without a received byte for the longest time.
package budget
