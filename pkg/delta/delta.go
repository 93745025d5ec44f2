// Package delta encodes a byte string as its difference from an earlier one that
// the receiver has. Successive configurations differ in a few routes or keys, at
// any place, so a difference is some hundred bytes.
package delta

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"hash/maphash"

	"github.com/cockroachdb/errors"
)

const (
	// blockSize is the length of the blocks of the base that Diff looks for in the
	// target; shorter matches are not worth a copy operation.
	blockSize = 32
	// maxProbes bounds the places of one block that Diff compares, so that a
	// repetitive base does not cost quadratic time.
	maxProbes = 8
)

// The operations of a patch. Each is followed by its operands as unsigned varints.
const (
	opInsert = iota // length, then that many bytes
	opCopy          // offset in the base, length
)

// ErrWrongBase is returned by Apply if the patch was made for another base.
var ErrWrongBase = errors.New("the patch was made for another base")

// ErrMalformed is returned by Apply for a patch that Diff did not make.
var ErrMalformed = errors.New("malformed patch")

// Diff returns a patch from which Apply restores target, given base. It takes time
// linear in both lengths.
func Diff(base, target []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, checksum(base))
	out = binary.BigEndian.AppendUint32(out, checksum(target))
	out = binary.AppendUvarint(out, uint64(len(target)))
	blocks := indexBlocks(base)
	literal := 0 // Start of the bytes that no operation covers yet.
	for at := 0; at+blockSize <= len(target); {
		from, length := blocks.longest(base, target, at)
		if length == 0 {
			at++
			continue
		}
		back := commonSuffix(base[:from], target[literal:at])
		out = appendInsert(out, target[literal:at-back])
		out = append(out, opCopy)
		out = binary.AppendUvarint(out, uint64(from-back))
		out = binary.AppendUvarint(out, uint64(length+back))
		at += length
		literal = at
	}
	return appendInsert(out, target[literal:])
}

// Apply restores the target of a patch. The result has limit bytes at most.
func Apply(base, patch []byte, limit int) ([]byte, error) {
	r := bytes.NewReader(patch)
	var sums [2]uint32
	if binary.Read(r, binary.BigEndian, &sums) != nil {
		return nil, ErrMalformed
	}
	if sums[0] != checksum(base) {
		return nil, ErrWrongBase
	}
	size, err := binary.ReadUvarint(r)
	if err != nil || size > uint64(limit) {
		return nil, ErrMalformed
	}
	target := make([]byte, 0, size)
	for r.Len() > 0 {
		piece, err := readOperation(r, base, patch)
		if err != nil || len(piece) > int(size)-len(target) {
			return nil, ErrMalformed
		}
		target = append(target, piece...)
	}
	if len(target) != int(size) || checksum(target) != sums[1] {
		return nil, ErrMalformed
	}
	return target, nil
}

// readOperation returns the bytes that the next operation appends.
func readOperation(r *bytes.Reader, base, patch []byte) ([]byte, error) {
	op, err := r.ReadByte()
	if err != nil || op > opCopy {
		return nil, ErrMalformed
	}
	source, from := base, uint64(0)
	if op == opCopy {
		if from, err = binary.ReadUvarint(r); err != nil {
			return nil, ErrMalformed
		}
	}
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, ErrMalformed
	}
	if op == opInsert {
		source, from = patch, uint64(len(patch)-r.Len())
	}
	if from > uint64(len(source)) || length > uint64(len(source))-from {
		return nil, ErrMalformed
	}
	if op == opInsert {
		_, _ = r.Seek(int64(length), 1) // Within the reader, as checked above.
	}
	return source[from : from+length], nil
}

func appendInsert(out, literal []byte) []byte {
	if len(literal) == 0 {
		return out
	}
	out = append(out, opInsert)
	out = binary.AppendUvarint(out, uint64(len(literal)))
	return append(out, literal...)
}

func checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// blockIndex has the offsets of the base's blocks by hash.
type blockIndex struct {
	seed    maphash.Seed
	offsets map[uint64][]int
}

func indexBlocks(base []byte) blockIndex {
	x := blockIndex{seed: maphash.MakeSeed(), offsets: make(map[uint64][]int, len(base)/blockSize)}
	for at := 0; at+blockSize <= len(base); at += blockSize {
		h := maphash.Bytes(x.seed, base[at:at+blockSize])
		if list := x.offsets[h]; len(list) < maxProbes {
			x.offsets[h] = append(list, at)
		}
	}
	return x
}

// longest returns the longest match in base for the bytes of target from at on, or
// a length of zero if no block matches.
func (x blockIndex) longest(base, target []byte, at int) (from, length int) {
	for _, offset := range x.offsets[maphash.Bytes(x.seed, target[at:at+blockSize])] {
		if n := commonPrefix(base[offset:], target[at:]); n >= blockSize && n > length {
			from, length = offset, n
		}
	}
	return from, length
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}
