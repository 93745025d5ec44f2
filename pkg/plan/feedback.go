package plan

import "cassiapin/pkg/config"

const (
	// targetMargin is added to the quality target of a class. Without it, the mean
	// served quality was 0.693 at a target of 0.700.
	targetMargin = 0.01
	// minServedRatings is the number of ratings of served answers below which
	// feedback is ignored.
	minServedRatings = 5
	// deficitGain is the factor by which a quality deficit raises the required
	// quality. It exceeds surplusGain because missing the target is worse than
	// a higher cost.
	deficitGain = 2
	// surplusGain is the factor by which a quality surplus lowers the required
	// quality. With 1, a class whose best version is 0.12 above the target
	// stays on that version for the first 40 ratings.
	surplusGain = 1.5
	// maxRaise and maxRelax bound the adjustment of the required quality.
	maxRaise = 0.10
	maxRelax = 0.10
)

// required returns the lower quality bound that a plan of the class must meet.
// It is the target, raised if served answers miss the target and lowered if the
// lower confidence bound of their mean exceeds it: the lower bound of a plan
// allows for uncertain estimates, and in that case it was too pessimistic.
func (s *Service) required(class *config.Class) float64 {
	target := class.QualityTarget
	if s.feedback == nil || target <= 0 {
		return target
	}
	served := s.feedback.Served(class.Name)
	if served.Rated < minServedRatings {
		return target
	}
	goal := target + targetMargin
	if deficit := goal - served.Mean; deficit > 0 {
		return goal + min(maxRaise, deficitGain*deficit)
	}
	return goal - min(maxRelax, surplusGain*max(0, served.Lower-goal))
}
