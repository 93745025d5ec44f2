package balance

import "cassiapin/pkg/runners"

// Strategy is the name of a balancing strategy.
type Strategy string

// The strategies. StrategyRoundRobin and StrategyLeastOutstanding are baselines
// for benchmarks of changes to StrategyPolicy.
const (
	// StrategyPolicy is power of d choices by load, locality, state and prefix
	// affinity.
	StrategyPolicy Strategy = "policy"
	// StrategyRoundRobin cycles through the usable runners.
	StrategyRoundRobin Strategy = "round-robin"
	// StrategyLeastOutstanding chooses the runner with the fewest open requests
	// of this node.
	StrategyLeastOutstanding Strategy = "least-outstanding"
)

const (
	// penaltySameRegion and penaltyOtherRegion are in units of a runner's full
	// load; a runner in the same failure domain has no penalty.
	penaltySameRegion  = 0.05
	penaltyOtherRegion = 0.5
	// penaltyCold lets a runner that is not warm be chosen once the warm ones
	// are half loaded, so that it warms up before it is needed.
	penaltyCold = 0.5
	// maxAffinity is the reduction of the score for a cached prefix at
	// affinityTokens or more prompt tokens. It is below the penalty of another
	// region.
	maxAffinity    = 0.4
	minAffinity    = 0.1
	affinityTokens = 1024
	// longPrompt is the number of prompt tokens from which choicesLong runners
	// are compared, because a bad choice costs a long prefill.
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

// lowestScore tracks the candidate with the lowest score.
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

// pickPolicy returns the best of d sampled usable candidates and the runners with
// the prefix.
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

// pickSampled samples candidates until it has d usable ones, and returns the best
// of these and the runners with the prefix, or -1 if it finds fewer than d.
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

// seed returns the seed of the random sequence of one choice.
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

// locate returns the index of the holder among the candidates, or -1 if it is not
// among them. It tries the last known index first, because comparing hundreds of
// names takes a third of the time of a choice at 600 runners.
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

// score returns the load of the candidate plus penalties; lower is better.
// Reported requests may include some of this node's own, so the sum overstates
// the load by the node's share, but it reflects the node's own requests at once.
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

// capacity returns the candidate's effective capacity: scaled by its weight, and
// based on the declared cold limit unless it is warm.
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

// saturated reports whether the candidate certainly queues requests. It uses the
// larger of the two counts, because their sum may count this node's requests
// twice.
func saturated(c *runners.Candidate) bool {
	return float64(max(c.Reported, c.Outstanding)) > saturatedLoad*capacity(c)
}

// allSaturated reports whether all usable candidates are saturated.
func allSaturated(b *scratch, r Request) bool {
	for i := range b.candidates {
		if classify(&b.candidates[i], &r) == usable && !saturated(&b.candidates[i]) {
			return false
		}
	}
	return true
}

// affinity returns the reduction of the score for a cached prefix. It grows with
// the prompt, as does the prefill that is saved.
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

// tieHash returns the tie-break order of runners with equal scores, which differs
// between requests. It is FNV-1a over the name, mixed with the seed.
func tieHash(seed uint64, c *runners.Candidate) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(c.Upstream.Name); i++ {
		h = (h ^ uint64(c.Upstream.Name[i])) * 1099511628211
	}
	return mix(h ^ mix(seed+splitmixIncrement))
}
