// Package claim decides who holds a request key, from a log of segments in the store.
//
// The keys of a shard are kept in segments numbered from 1. Claims are appended to the last
// segment, the head, by compare-and-swap, so that a claim is written only by a writer that
// knows every earlier one. The write that fills the head also seals it. The next segment is
// then created empty. A writer that moves on to segment n+1 reads segment n again afterwards
// and requires the version that it knows as sealed: segments are deleted in order of their
// numbers, so this shows that n+1 is not a new segment under the number of a deleted one.
package claim
