// Package claim decides which attempt holds a request key, from a log of claims and releases in the store. A key that one
// attempt holds is refused to all others until it is released or the claim expires.
//
// Keys are distributed over shards by their hash. The log of a shard is divided into segments numbered from 1. Claims are
// appended to the last segment, the head, by compare-and-swap, so a write succeeds only for a writer that has read all
// earlier claims. The write that fills the head also seals it. The next segment is then created empty. A writer that
// advances to segment n+1 reads segment n again afterwards and requires that it still has the version in which it was
// sealed. Segments are deleted in the order of their numbers, so this proves that segment n+1 was not created again under
// the number of a deleted segment.
package claim
