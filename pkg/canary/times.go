package canary

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// timeBuckets is the number of buckets of Times: half octaves of milliseconds up
// to two minutes.
const timeBuckets = 34

// Times is a histogram of times in half octaves of milliseconds; the last bucket
// has no upper bound.
type Times [timeBuckets]uint32

// timeBucket returns the bucket of a time.
func timeBucket(d time.Duration) int {
	return min(int(2*log2Milliseconds(d)), timeBuckets-1)
}

// log2Milliseconds is log2 of the milliseconds of a time, 0 below one.
func log2Milliseconds(d time.Duration) float64 {
	return math.Log2(max(float64(d.Milliseconds()), 1))
}

func (t *Times) add(o *Times) {
	for i, n := range o {
		t[i] += n
	}
}

// subtract removes samples; a bucket has at least none.
func (t *Times) subtract(o *Times) {
	for i, n := range o {
		t[i] -= min(n, t[i])
	}
}

// count is the number of samples, above that of the samples in the buckets after
// bucket.
func (t *Times) count() uint64 { return t.above(-1) }

func (t *Times) above(bucket int) (n uint64) {
	for i := bucket + 1; i < timeBuckets; i++ {
		n += uint64(t[i])
	}
	return n
}

// variance is that of log2 of the samples.
func (t *Times) variance() float64 {
	var n, sum, squares float64
	for i, c := range t {
		x := (float64(i) + 0.5) / 2
		n += float64(c)
		sum += float64(c) * x
		squares += float64(c) * x * x
	}
	if n == 0 {
		return 0
	}
	return max(squares/n-sum/n*sum/n, 0)
}

// MarshalCBOR encodes the first bucket with samples and the counts from there to
// the last one, because most messages have many short histograms.
func (t Times) MarshalCBOR() ([]byte, error) {
	var out []uint32
	for first := range t {
		if t[first] == 0 {
			continue
		}
		last := timeBuckets
		for t[last-1] == 0 {
			last--
		}
		out = append([]uint32{uint32(first)}, t[first:last]...)
		break
	}
	return cbor.Marshal(out)
}

// UnmarshalCBOR decodes the form of MarshalCBOR.
func (t *Times) UnmarshalCBOR(raw []byte) error {
	var in []uint32
	if err := cbor.Unmarshal(raw, &in); err != nil {
		return errors.Wrap(err, "decode a histogram of times")
	}
	*t = Times{}
	if len(in) == 0 {
		return nil
	}
	if in[0] >= timeBuckets || len(in)-1 > timeBuckets-int(in[0]) {
		return errors.Newf("a histogram of times has %d buckets from %d on", len(in)-1, in[0])
	}
	copy(t[in[0]:], in[1:])
	return nil
}
