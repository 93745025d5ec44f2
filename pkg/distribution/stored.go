package distribution

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"

	"cassiapin/pkg/config"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/result"
)

// The keys in the object store.
const (
	ConfigKey = "config/current"
	MarksKey  = "marks/current"
)

// Stored is the value of config/current.
type Stored struct {
	// Number orders configurations, from 1.
	Number uint64
	// Hash is the hex SHA-256 of the declarations' JSON.
	Hash         string
	PublishedAt  time.Time
	Publisher    string
	Declarations config.Declarations
}

// storedJSON is the JSON form of Stored; the declarations stay raw so that they
// can be hashed as stored.
type storedJSON struct {
	Number       uint64          `json:"number"`
	Hash         string          `json:"hash"`
	PublishedAt  time.Time       `json:"published_at"`
	Publisher    string          `json:"publisher"`
	Declarations json.RawMessage `json:"declarations"`
}

// HashDeclarations returns the hex SHA-256 of the declarations' JSON.
func HashDeclarations(d config.Declarations) (string, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return "", result.Wrap(err, result.DeclarationError, result.NotRun, "encode the declarations")
	}
	return hashJSON(raw), nil
}

func hashJSON(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// EncodeStored returns the JSON of s with the hash of its declarations; it
// ignores s.Hash.
func EncodeStored(s Stored) ([]byte, error) {
	declarations, err := json.Marshal(s.Declarations)
	if err != nil {
		return nil, result.Wrap(err, result.DeclarationError, result.NotRun, "encode the declarations")
	}
	raw, err := json.Marshal(storedJSON{
		Number: s.Number, Hash: hashJSON(declarations), PublishedAt: s.PublishedAt,
		Publisher: s.Publisher, Declarations: declarations,
	})
	if err != nil {
		return nil, result.Wrap(err, result.DeclarationError, result.NotRun, "encode the configuration")
	}
	if len(raw) > objectstore.MaxObjectBytes {
		return nil, result.New(result.ObjectTooLarge, "the configuration has %d bytes, the limit is %d", len(raw), objectstore.MaxObjectBytes)
	}
	return raw, nil
}

// DecodeStored decodes the value of config/current and verifies its hash. It
// rejects unknown fields, because ignoring a rule of a later release could allow
// what an operator has forbidden. Errors carry result.SnapshotRefused.
func DecodeStored(raw []byte) (Stored, error) {
	refuse := func(err error, what string) (Stored, error) {
		return Stored{}, result.Wrap(err, result.SnapshotRefused, result.NotRun, "%s", what)
	}
	if len(raw) > objectstore.MaxObjectBytes {
		return refuse(nil, "the configuration is too large")
	}
	var j storedJSON
	if err := json.Unmarshal(raw, &j); err != nil {
		return refuse(err, "the configuration is no valid JSON")
	}
	if j.Number == 0 {
		return refuse(nil, "the configuration has no number")
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, j.Declarations); err != nil {
		return refuse(err, "the configuration has no declarations")
	}
	if got := hashJSON(compact.Bytes()); got != j.Hash {
		return refuse(nil, "the hash of the configuration does not match its declarations")
	}
	s := Stored{Number: j.Number, Hash: j.Hash, PublishedAt: j.PublishedAt, Publisher: j.Publisher}
	dec := json.NewDecoder(&compact)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s.Declarations); err != nil {
		return refuse(err, "the declarations cannot be decoded")
	}
	return s, nil
}

// codec returns the zstd encoder and decoder, which are safe for concurrent use.
var codec = sync.OnceValue(func() (c struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}) {
	var err error
	if c.enc, err = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(objectstore.MaxObjectBytes)); err != nil {
		panic(err) // The options are constant and covered by tests.
	}
	c.dec, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(objectstore.MaxObjectBytes))
	if err != nil {
		panic(err)
	}
	return c
})

func compress(raw []byte) []byte { return codec().enc.EncodeAll(raw, nil) }

// decompress decompresses a value, up to the object store's size limit.
func decompress(packed []byte) ([]byte, error) {
	raw, err := codec().dec.DecodeAll(packed, nil)
	if err != nil {
		return nil, result.Wrap(err, result.BadMessage, result.NotRun, "decompress a configuration")
	}
	return raw, nil
}
