package plan

import "time"

const (
	// exploreWindow is the sliding window over which the cost of exploration is
	// compared with the total cost. It is divided into exploreBuckets buckets.
	exploreWindow  = 10 * time.Minute
	exploreBuckets = 10
)

// exploreBudget sums expected costs over the last exploreWindow.
type exploreBudget struct {
	current int64
	total   [exploreBuckets]float64
	explore [exploreBuckets]float64
}

// advance clears the expired buckets and returns the index of the current one.
func (b *exploreBudget) advance(now time.Time) int {
	bucket := now.UnixNano() / int64(exploreWindow/exploreBuckets)
	for range min(bucket-b.current, exploreBuckets) {
		b.current++
		i := b.current % exploreBuckets
		b.total[i], b.explore[i] = 0, 0
	}
	b.current = max(b.current, bucket)
	return int(b.current % exploreBuckets)
}

// sums returns the total cost and the cost of exploration in the window.
func (b *exploreBudget) sums() (total, explore float64) {
	for i := range exploreBuckets {
		total += b.total[i]
		explore += b.explore[i]
	}
	return total, explore
}

// recordCost adds the expected cost of a plan to the exploration budget.
func (s *Service) recordCost(cost float64, explore bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.budget.advance(s.clock.Now())
	s.budget.total[i] += cost
	if explore {
		s.budget.explore[i] += cost
	}
}

// mayExplore reports whether exploration including a plan of the given cost
// stays within its share of the total cost.
func (s *Service) mayExplore(cost, share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.advance(s.clock.Now())
	total, explore := s.budget.sums()
	return explore+cost <= share*(total+cost)
}

func (s *Service) random() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64()
}

func (s *Service) acceptance() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptanceRate
}
