// Package budget decides which request bodies may take memory, and which are evicted when the memory is used up.
//
// Bodies belong to holders: the team of a request, or the client's address where there is no team. While the budget is full,
// the holder with the most bytes loses the body that has gone without a received byte for the longest time.
//
// A body is admitted with Admit, charged with Grow before each part of its buffer is allocated, can't be evicted any more after Complete,
// and gives its bytes back with Release. The caller drops the buffers of the bodies that Grow and Evict return. Other memory is bounded in
// the same way: that of answers (io/front) and frames (io/link).
package budget
