package claim

import (
	"crypto/sha256"
	"encoding/binary"

	"wagtailhoist/core/model"
)

// Hash stands for a team and a request key. Callers choose the keys, so the hash has to resist
// collisions made on purpose: two keys with one hash would refuse each other as duplicates.
type Hash [16]byte

// Sum returns the hash of a team's request key.
func Sum(team model.Team, key string) Hash {
	buf := binary.AppendUvarint(nil, uint64(len(team)))
	buf = append(buf, team...)
	buf = append(buf, key...)
	sum := sha256.Sum256(buf)
	return Hash(sum[:16])
}

// Shard returns the shard of the hash among n; all entries have to use the same n.
func (h Hash) Shard(n int) int {
	return int(binary.BigEndian.Uint64(h[:8]) % uint64(n))
}
