package billing

import (
	"crypto/sha256"
	"encoding/hex"
)

// idHashBytes is the length of the truncated hash in an id. With 16 bytes a
// collision within one organisation's retention period is practically impossible.
const idHashBytes = 16

func keyHash(organisation, key string) string {
	h := sha256.New()
	h.Write([]byte(organisation))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return hex.EncodeToString(h.Sum(nil)[:idHashBytes])
}
