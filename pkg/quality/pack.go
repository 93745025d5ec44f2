package quality

import (
	"encoding/binary"
	"math"
	"slices"

	"cassiapin/pkg/config"
)

// packed is the wire form of table rows: each name once, and for each row two
// indices and the sums as 32-bit floats. 40 rows take 1.7 KB instead of 4.2 KB.
type packed struct {
	Classes []string `cbor:"1,keyasint,omitempty"`
	// Refs are versions as "model@version".
	Refs []string `cbor:"2,keyasint,omitempty"`
	Rows []byte   `cbor:"3,keyasint,omitempty"`
}

const (
	cellFields = 8
	// packedRowBytes is the size of a row: two 16-bit indices and the sums.
	packedRowBytes = 4 + 4*cellFields
)

func (c *cell) fields() [cellFields]*float64 {
	return [cellFields]*float64{
		&c.Rated, &c.Sum, &c.SumSquares, &c.Answers, &c.Failed, &c.Cost, &c.Time, &c.FirstToken,
	}
}

// indexOf returns the index of name, appending it if missing.
func indexOf(names *[]string, name string) uint16 {
	i := slices.Index(*names, name)
	if i < 0 {
		i = len(*names)
		*names = append(*names, name)
	}
	return uint16(i)
}

func pack(cells map[key]cell) packed {
	var p packed
	for k, c := range cells {
		if len(p.Rows)/packedRowBytes > math.MaxUint16 {
			break
		}
		p.Rows = binary.LittleEndian.AppendUint16(p.Rows, indexOf(&p.Classes, k.class))
		p.Rows = binary.LittleEndian.AppendUint16(p.Rows, indexOf(&p.Refs, k.ref.String()))
		for _, f := range c.fields() {
			p.Rows = binary.LittleEndian.AppendUint32(p.Rows, math.Float32bits(float32(*f)))
		}
	}
	return p
}

// unpack returns the cells. Rows with an unknown name or a negative, infinite or
// NaN sum are skipped, so that one node cannot corrupt the table.
func (p packed) unpack() map[key]cell {
	cells := make(map[key]cell, len(p.Rows)/packedRowBytes)
	for raw := p.Rows; len(raw) >= packedRowBytes; raw = raw[packedRowBytes:] {
		class, ref := int(binary.LittleEndian.Uint16(raw)), int(binary.LittleEndian.Uint16(raw[2:]))
		if class >= len(p.Classes) || ref >= len(p.Refs) {
			continue
		}
		version, err := config.ParseVersionRef(p.Refs[ref])
		if err != nil {
			continue
		}
		var c cell
		valid := true
		for i, f := range c.fields() {
			*f = float64(math.Float32frombits(binary.LittleEndian.Uint32(raw[4+4*i:])))
			valid = valid && *f >= 0 && !math.IsInf(*f, 0)
		}
		if valid {
			cells[key{class: p.Classes[class], ref: version}] = c
		}
	}
	return cells
}
