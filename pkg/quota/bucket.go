package quota

import "time"

// burstDuration is the capacity of a bucket, as a duration at its rate. All nodes
// together exceed a limit by at most one second's worth.
const burstDuration = time.Second

// bucket is a token bucket with a variable rate.
type bucket struct {
	rate     float64
	tokens   float64
	refilled time.Time
}

// setRate changes the rate. Tokens beyond the new burst are discarded, so that a
// rate reassigned to another node does not leave its burst on this one.
func (b *bucket) setRate(rate float64, now time.Time) {
	b.refill(now)
	b.rate = rate
	b.tokens = min(b.tokens, b.burst())
}

// burst returns the capacity of the bucket. It is at least one request, as a low
// rate would otherwise admit none.
func (b *bucket) burst() float64 { return max(1, b.rate*burstDuration.Seconds()) }

func (b *bucket) refill(now time.Time) {
	if !b.refilled.IsZero() && now.After(b.refilled) {
		b.tokens = min(b.burst(), b.tokens+b.rate*now.Sub(b.refilled).Seconds())
	}
	b.refilled = now
}

// take takes one token, or returns the time until one is available.
func (b *bucket) take(now time.Time) (wait time.Duration, ok bool) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if b.rate <= 0 {
		return maxRetryAfter, false
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), false
}

// Spend limits apply to a sliding window, which is divided into slots.
const (
	spendWindow  = time.Hour
	spendSlots   = 60
	slotDuration = spendWindow / spendSlots
)

// slidingSpend sums the spend of the last hour in slots of one minute.
type slidingSpend struct {
	slots [spendSlots]float64
	last  int64
}

// advance clears the expired slots.
func (s *slidingSpend) advance(now time.Time) {
	slot := now.UnixNano() / int64(slotDuration)
	for n := min(slot-s.last, spendSlots); n > 0; n-- {
		s.slots[(slot-n+1)%spendSlots] = 0
	}
	s.last = max(s.last, slot)
}

func (s *slidingSpend) add(price float64, now time.Time) {
	s.advance(now)
	s.slots[s.last%spendSlots] += price
}

func (s *slidingSpend) total(now time.Time) float64 {
	s.advance(now)
	sum := 0.0
	for _, v := range s.slots {
		sum += v
	}
	return sum
}
