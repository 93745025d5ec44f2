package objectstore

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
)

// Every value written by Client starts with an envelope: a magic string, the
// attempt ID in hex and a line feed. The object API stores only bytes, so the
// envelope is the only way for a read-back to identify the attempt that wrote
// the value.
const (
	envelopeMagic  = "cpa1:"
	attemptHexLen  = 32
	envelopeLength = len(envelopeMagic) + attemptHexLen + 1
)

// MaxValueBytes is the largest value that Client can store.
const MaxValueBytes = MaxObjectBytes - envelopeLength

// newAttempt returns a random attempt ID.
func newAttempt() string {
	var raw [attemptHexLen / 2]byte
	rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// addEnvelope returns the value with an envelope in front.
func addEnvelope(attempt string, value []byte) []byte {
	out := make([]byte, 0, envelopeLength+len(value))
	out = append(out, envelopeMagic...)
	out = append(out, attempt...)
	out = append(out, '\n')
	return append(out, value...)
}

// splitEnvelope splits a stored value. A value without an envelope, for example
// one written by another program, is returned unchanged with an empty attempt
// ID.
func splitEnvelope(stored []byte) (attempt string, value []byte) {
	if len(stored) < envelopeLength || !bytes.HasPrefix(stored, []byte(envelopeMagic)) ||
		stored[envelopeLength-1] != '\n' {
		return "", stored
	}
	return string(stored[len(envelopeMagic) : envelopeLength-1]), stored[envelopeLength:]
}
