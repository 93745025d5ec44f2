package plan

import (
	"cmp"
	"math"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/quality"
	"cassiapin/pkg/result"
)

const (
	// ratingReliability is the share of the rating gain from selecting answers
	// that is counted as quality. Ratings are noisy, so the mean rating of the
	// selected answers overstates their quality.
	ratingReliability = 0.5
	// priorAcceptance is the initial estimate of the share of answers that pass
	// the heuristic check; acceptanceWeight is the EWMA weight of each check.
	priorAcceptance  = 0.9
	acceptanceWeight = 0.01
	// heuristicThreshold is the lowest score that passes the heuristic check.
	heuristicThreshold = 0.5
	// minDeviation keeps the acceptance probability a smooth function of the
	// mean.
	minDeviation = 0.02
)

// thresholds are the rating thresholds for which cascades are evaluated, in
// addition to the class's quality target.
var thresholds = [...]float64{0.4, 0.5, 0.6, 0.7, 0.8, 0.9}

// candidate is a possible plan. It refers to versions by their index in the
// options, so that comparing a hundred plans does not allocate.
type candidate struct {
	first int
	// second is the index of the second step's version, -1 for a single step.
	second int
	// accept is the check threshold of the first step.
	accept       float64
	cost         float64
	quality      float64
	lowerQuality float64
	time         time.Duration
	// worstTime is the expected time if every step runs.
	worstTime time.Duration
	explore   bool
}

// decisionInput is the input of one decision.
type decisionInput struct {
	request   *Request
	options   []option
	estimates []quality.Estimate
	// acceptance is the share of answers that pass the heuristic check.
	acceptance float64
}

// choose returns the plan and the rollout id of each step.
func (s *Service) choose(snapshot *config.Snapshot, r *Request, options []option) (Plan, [2]string, error) {
	c := decisionInput{request: r, options: options, estimates: make([]quality.Estimate, len(options)), acceptance: s.acceptance()}
	for i, o := range options {
		c.estimates[i] = s.estimator.Estimate(r.Class.Name, o.ref)
	}
	chosen, err := s.decide(snapshot, &c)
	if err != nil {
		return Plan{}, [2]string{}, err
	}
	p, rollouts := c.plan(chosen)
	return p, rollouts, nil
}

func (s *Service) decide(snapshot *config.Snapshot, c *decisionInput) (candidate, error) {
	best, cheapest := c.single(0), c.single(0)
	for i := range c.options {
		if k := c.single(i); k.better(&best) {
			best = k
		}
		if k := c.single(i); k.cheaper(&cheapest) {
			cheapest = k
		}
	}
	switch s.options.Strategy {
	case StrategyAlwaysBest:
		return best, nil
	case StrategyCheapest:
		return cheapest, nil
	case StrategyFixedSplit:
		if s.random() < s.options.SplitShare {
			return cheapest, nil
		}
		return best, nil
	}
	return s.cheapestMeetingTarget(snapshot, c)
}

// cheapestMeetingTarget returns the cheapest plan whose lower bound meets the
// required quality, or else the best plan. It considers only plans that are
// expected to meet the deadline.
func (s *Service) cheapestMeetingTarget(snapshot *config.Snapshot, c *decisionInput) (candidate, error) {
	none := candidate{first: -1}
	required := s.required(c.request.Class)
	best, cheapest := none, none
	c.eachCandidate(func(k candidate) {
		if k.worstTime > c.request.Remaining {
			return
		}
		if best.first < 0 || k.better(&best) {
			best = k
		}
		if k.lowerQuality >= required && (cheapest.first < 0 || k.cheaper(&cheapest)) {
			cheapest = k
		}
	})
	chosen := cheapest
	if chosen.first < 0 {
		chosen = best
	}
	if chosen.first < 0 {
		return s.refuseOrProbe(c)
	}
	if other, ok := s.explore(snapshot, c, chosen, required); ok {
		return other, nil
	}
	return chosen, nil
}

// refuseOrProbe refuses a request whose deadline no plan is expected to meet. A
// probeShare of such requests run on the fastest version instead.
func (s *Service) refuseOrProbe(c *decisionInput) (candidate, error) {
	if s.random() >= probeShare {
		return candidate{}, result.New(result.DeadlineUnmeetable, "no plan is expected to end within %s", c.request.Remaining).
			WithRetryAfter(time.Second)
	}
	fastest := c.single(0)
	for i := range c.options {
		if k := c.single(i); k.worstTime < fastest.worstTime {
			fastest = k
		}
	}
	return fastest, nil
}

// explore replaces the chosen plan by the other version with the fewest ratings
// that could be better, if the exploration budget allows it. If the chosen plan
// meets the required quality, only versions that are cheaper and whose upper
// bound reaches the required quality are considered.
func (s *Service) explore(snapshot *config.Snapshot, c *decisionInput, chosen candidate, required float64) (candidate, bool) {
	r := c.request
	if !r.Class.Explore || r.Class.NonIdempotent || r.Version != "" || r.Pinned != (config.VersionRef{}) {
		return candidate{}, false
	}
	leastRated := -1
	for i, e := range c.estimates {
		if i == chosen.first || i == chosen.second || e.Time > r.Remaining {
			continue
		}
		if chosen.lowerQuality >= required && (e.Cost >= chosen.cost || 2*e.Mean-e.Lower < required) {
			continue
		}
		if leastRated < 0 || e.Rated < c.estimates[leastRated].Rated {
			leastRated = i
		}
	}
	if leastRated < 0 || !s.mayExplore(c.estimates[leastRated].Cost, snapshot.Limits.ExploreShare) {
		return candidate{}, false
	}
	s.explored.Inc()
	exploration := c.single(leastRated)
	exploration.explore = true
	return exploration, true
}

func (c *decisionInput) single(i int) candidate {
	e := &c.estimates[i]
	return candidate{first: i, second: -1, cost: e.Cost, quality: e.Mean, lowerQuality: e.Lower, time: e.Time, worstTime: e.Time}
}

// eachCandidate calls f for every possible plan. Non-idempotent requests have no
// cascades, because they may run only once.
func (c *decisionInput) eachCandidate(f func(k candidate)) {
	for i := range c.options {
		f(c.single(i))
	}
	class := c.request.Class
	if class.NonIdempotent || (class.Check != config.CheckRating && class.Check != config.CheckHeuristic) {
		return
	}
	for i := range c.options {
		for j := range c.options {
			if c.estimates[i].Cost < c.estimates[j].Cost && c.estimates[i].Mean < c.estimates[j].Mean {
				c.cascades(i, j, f)
			}
		}
	}
}

func (c *decisionInput) cascades(i, j int, f func(k candidate)) {
	a, b := &c.estimates[i], &c.estimates[j]
	if c.request.Class.Check == config.CheckHeuristic {
		p := c.acceptance
		k := c.cascade(i, j, heuristicThreshold, p)
		k.quality, k.lowerQuality = mixture(p, a.Mean, b.Mean), mixture(p, a.Lower, b.Lower)
		f(k)
		return
	}
	for n := 0; n <= len(thresholds); n++ {
		t := c.request.Class.QualityTarget
		if n < len(thresholds) {
			t = thresholds[n]
		}
		p, accepted := acceptedByRating(a.Mean, a.Deviation, t)
		pLow, acceptedLow := acceptedByRating(a.Lower, a.Deviation, t)
		k := c.cascade(i, j, t, p)
		if c.request.Session {
			// Later requests of the session run on the accepted version without
			// a check, so selection does not improve their quality.
			accepted, acceptedLow = a.Mean, a.Lower
		}
		k.quality, k.lowerQuality = mixture(p, accepted, b.Mean), mixture(pLow, acceptedLow, b.Lower)
		f(k)
	}
}

// cascade returns a two-step plan whose first step is accepted with probability
// p.
func (c *decisionInput) cascade(i, j int, threshold, p float64) candidate {
	a, b := &c.estimates[i], &c.estimates[j]
	return candidate{
		first: i, second: j, accept: threshold,
		cost:      a.Cost + (1-p)*b.Cost,
		time:      a.Time + time.Duration((1-p)*float64(b.Time)),
		worstTime: a.Time + b.Time,
	}
}

// plan converts a candidate to a Plan and returns the rollout id of each step.
func (c *decisionInput) plan(k candidate) (p Plan, rollouts [2]string) {
	rollouts[0] = c.options[k.first].rollout
	p = Plan{
		Steps: []Step{{Version: c.options[k.first].ref}}, Check: config.CheckNone, Explore: k.explore,
		Cost: k.cost, Quality: k.quality, Time: k.time,
	}
	if k.second >= 0 {
		p.Steps[0].Accept, p.Check = k.accept, c.request.Class.Check
		p.Steps = append(p.Steps, Step{Version: c.options[k.second].ref})
		rollouts[1] = c.options[k.second].rollout
	}
	p.Rollout = cmp.Or(rollouts[0], rollouts[1])
	return p, rollouts
}

func (k *candidate) better(o *candidate) bool {
	return k.quality > o.quality || (k.quality == o.quality && k.cost < o.cost)
}

func (k *candidate) cheaper(o *candidate) bool {
	return k.cost < o.cost || (k.cost == o.cost && k.quality > o.quality)
}

// mixture returns the expected quality if a share p of answers is accepted.
func mixture(p, accepted, escalated float64) float64 { return p*accepted + (1-p)*escalated }

// acceptedByRating returns the probability that a rating is at least t and the
// expected quality of the answers with such ratings, for normally distributed
// ratings.
func acceptedByRating(mean, deviation, t float64) (p, accepted float64) {
	deviation = max(deviation, minDeviation)
	z := (t - mean) / deviation
	p = 0.5 * math.Erfc(z/math.Sqrt2)
	if p < 1e-6 {
		return 0, mean
	}
	gain := deviation * math.Exp(-z*z/2) / math.Sqrt(2*math.Pi) / p
	return p, min(1, mean+ratingReliability*gain)
}
