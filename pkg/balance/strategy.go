package balance

import "cassiapin/pkg/runners"

// Strategy names a way of choosing a runner.
type Strategy string

// The strategies. The baselines stay available so that every later change of
// the policy is measured against them.
const (
	// StrategyPolicy is power of d choices over the score of design 5.2.
	StrategyPolicy Strategy = "policy"
	// StrategyRoundRobin takes the usable runners in turn.
	StrategyRoundRobin Strategy = "round-robin"
	// StrategyLeastOutstanding takes the runner with the fewest open requests
	// of this node.
	StrategyLeastOutstanding Strategy = "least-outstanding"
)

const (
	// penaltySameRegion and penaltyOtherRegion are in units of a runner's
	// whole load; the same failure domain has none.
	penaltySameRegion  = 0.05
	penaltyOtherRegion = 0.5
	// penaltyCold makes a runner that is not warm compete once the warm ones
	// are half loaded, so that it warms up before it is needed.
	penaltyCold = 0.5
	// maxAffinity is the score that a cached prefix saves at affinityTokens
	// prompt tokens and more. It is below the penalty of another region.
	maxAffinity    = 0.4
	minAffinity    = 0.1
	affinityTokens = 1024
	// longPrompt is the number of prompt tokens from which three runners are
	// compared: a bad choice costs a long prefill.
	longPrompt     = 2048
	choicesDefault = 2
	choicesLong    = 3
	// saturatedLoad is the load above which a runner queues.
	saturatedLoad = 1.0
)

// picker returns the index of the chosen candidate. b.usable is not empty.
type picker func(s *Service, b *scratch, r Request) int32

var pickers = map[Strategy]picker{
	StrategyPolicy:           pickPolicy,
	StrategyRoundRobin:       pickRoundRobin,
	StrategyLeastOutstanding: pickLeastOutstanding,
}

func pickRoundRobin(s *Service, b *scratch, _ Request) int32 {
	return b.usable[(s.roundRobin.Add(1)-1)%uint64(len(b.usable))]
}

func pickLeastOutstanding(_ *Service, b *scratch, r Request) int32 {
	best := b.usable[0]
	for _, i := range b.usable[1:] {
		c, o := &b.candidates[i], &b.candidates[best]
		if c.Outstanding < o.Outstanding || (c.Outstanding == o.Outstanding && tieHash(r.Seed, c) < tieHash(r.Seed, o)) {
			best = i
		}
	}
	return best
}

// lowestScore keeps the candidate with the lowest score.
type lowestScore struct {
	index int32
	score float64
}

func (m *lowestScore) consider(b *scratch, r *Request, i int32, score float64) {
	tie := m.index >= 0 && score == m.score && i != m.index &&
		tieHash(r.Seed, &b.candidates[i]) < tieHash(r.Seed, &b.candidates[m.index])
	if m.index < 0 || score < m.score || tie {
		m.index, m.score = i, score
	}
}

func choices(r *Request) int {
	if r.PromptTokens >= longPrompt {
		return choicesLong
	}
	return choicesDefault
}

// pickPolicy compares d sampled usable candidates and the holders of the
// prefix.
func pickPolicy(s *Service, b *scratch, r Request) int32 {
	m := lowestScore{index: -1}
	s.considerHolders(b, &r, &m)
	d, n := choices(&r), len(b.usable)
	if n <= d {
		for _, i := range b.usable {
			m.consider(b, &r, i, s.score(&b.candidates[i]))
		}
		return m.index
	}
	x := s.seed(&r)
	taken := [choicesLong]int32{-1, -1, -1}
	for k := 0; k < d; {
		x += splitmixIncrement
		i := b.usable[mix(x)%uint64(n)]
		if i == taken[0] || i == taken[1] {
			continue
		}
		taken[k] = i
		k++
		m.consider(b, &r, i, s.score(&b.candidates[i]))
	}
	return m.index
}

// pickSampled compares d sampled candidates that turn out to be usable, and
// the holders of the prefix. It returns -1 when it finds too few.
func (s *Service) pickSampled(b *scratch, r Request) int32 {
	m := lowestScore{index: -1}
	s.considerHolders(b, &r, &m)
	d, x, k := choices(&r), s.seed(&r), 0
	taken := [choicesLong]int32{-1, -1, -1}
	for range sampleAttempts {
		x += splitmixIncrement
		i := int32(mix(x) % uint64(len(b.candidates)))
		if i == taken[0] || i == taken[1] || classify(&b.candidates[i], &r) != usable {
			continue
		}
		taken[k] = i
		m.consider(b, &r, i, s.score(&b.candidates[i]))
		if k++; k == d {
			return m.index
		}
	}
	return -1
}

// seed returns the start of one choice's random sequence.
func (s *Service) seed(r *Request) uint64 { return s.random.Add(splitmixIncrement) ^ mix(r.Seed) }

func (s *Service) considerHolders(b *scratch, r *Request, m *lowestScore) {
	var holders [prefixWays]holder
	found := s.prefix.holders(r.Prefix, &holders)
	for k := range holders[:found] {
		i := s.locate(b, r.Prefix, &holders[k])
		if i >= 0 && classify(&b.candidates[i], r) == usable {
			m.consider(b, r, i, s.score(&b.candidates[i])-affinity(r.PromptTokens))
		}
	}
}

// locate returns the index of the holder among the candidates, -1 when it is
// not one. The position where it was last found is tried first: comparing
// hundreds of names took a third of a choice at 600 runners.
func (s *Service) locate(b *scratch, prefix uint64, h *holder) int32 {
	if n := int(h.position); n < len(b.candidates) && b.candidates[n].Upstream.Name == h.upstream {
		return h.position
	}
	for i := range b.candidates {
		if b.candidates[i].Upstream.Name == h.upstream {
			s.prefix.setPosition(prefix, h.upstream, int32(i))
			return int32(i)
		}
	}
	return -1
}

// score is the load of the candidate after one more request, plus penalties.
// Reported requests may include some of this node's own; the sum overstates
// the load by the node's share, and reacts at once to the node's own sends.
func (s *Service) score(c *runners.Candidate) float64 {
	score := float64(c.Reported+c.Outstanding) / capacity(c)
	if c.State != runners.Warm {
		score += penaltyCold
	}
	switch {
	case c.Upstream.Region != s.options.Region:
		score += penaltyOtherRegion
	case c.Upstream.FailureDomain != s.options.FailureDomain:
		score += penaltySameRegion
	}
	return score
}

// capacity is what the candidate can run now: ramped up after a return, and
// the declared limit in cold start.
func capacity(c *runners.Candidate) float64 {
	n := float64(c.Capacity)
	if c.State != runners.Warm {
		n = float64(coldCapacity(c))
	}
	if c.Weight > 0 {
		n *= c.Weight
	}
	return max(n, 0.1)
}

func coldCapacity(c *runners.Candidate) int { return max(c.Upstream.ColdLimit, 1) }

// saturated reports whether the candidate certainly queues. It uses the larger
// of the two counts, because their sum may count this node's requests twice.
func saturated(c *runners.Candidate) bool {
	return float64(max(c.Reported, c.Outstanding)) > saturatedLoad*capacity(c)
}

// allSaturated reports whether every usable candidate certainly queues.
func allSaturated(b *scratch, r Request) bool {
	for i := range b.candidates {
		if classify(&b.candidates[i], &r) == usable && !saturated(&b.candidates[i]) {
			return false
		}
	}
	return true
}

// affinity grows with the prompt, as the prefill that a cached prefix saves.
func affinity(promptTokens int) float64 {
	return max(minAffinity, maxAffinity*min(1, float64(promptTokens)/affinityTokens))
}

// splitmixIncrement is the increment of the splitmix64 generator.
const splitmixIncrement = 0x9e3779b97f4a7c15

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// tieHash orders runners with the same score differently for each request
// (FNV-1a over the name).
func tieHash(seed uint64, c *runners.Candidate) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(c.Upstream.Name); i++ {
		h = (h ^ uint64(c.Upstream.Name[i])) * 1099511628211
	}
	return mix(h ^ mix(seed+splitmixIncrement))
}
