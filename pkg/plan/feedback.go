package plan

import "cassiapin/pkg/config"

const (
	// targetMargin is how far above its target a class is kept. Served means
	// of 0.693 were measured at a target of 0.700 without it.
	targetMargin = 0.01
	// minServedRatings is the number of served ratings from which feedback is used.
	minServedRatings = 5
	// deficitGain raises the required quality faster than it is lowered,
	// because a target that is missed counts for more than cost.
	deficitGain = 2
	// surplusGain is the same for the lowering. With 1, a class whose best
	// version is 0.12 above the target keeps it for the first 40 ratings.
	surplusGain = 1.5
	// maxRaise and maxRelax bound the change of the required quality.
	maxRaise = 0.10
	maxRelax = 0.10
)

// required returns the lower bound that a plan of the class must have. It is
// the target, raised when the served answers miss the target and lowered by
// what they are certainly above it: the bound of a plan covers the uncertainty
// of its estimates, which the served mean shows not to have come true.
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
