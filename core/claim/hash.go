package claim

import (
	"crypto/sha256"
	"encoding/binary"

	"wagtailhoist/core/model"
)

// Hash identifies a team's request key. Callers choose the keys, so the hash must resist deliberate collisions: two keys
// with the same hash would be refused as duplicates of each other.
type Hash [16]byte

// HashKey returns the hash of a team's request key.
func HashKey(team model.Team, key string) Hash {
	buf := binary.AppendUvarint(nil, uint64(len(team)))
	buf = append(buf, team...)
	buf = append(buf, key...)
	sum := sha256.Sum256(buf)
	return Hash(sum[:16])
}

// Shard returns the number of the hash's shard, from 0 to n-1. All entry processes must use the same n.
func (h Hash) Shard(n int) int {
	return int(binary.BigEndian.Uint64(h[:8]) % uint64(n))
}
