package bench

import (
	"context"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/workload"
)

const (
	rolloutID = "bench-medium-2"
	// minQualityShare is the minimum quality of the roll-out as a fraction of the old
	// version's mean quality over all classes.
	minQualityShare = 0.95
	// watchInterval is the polling interval for the withdrawal mark.
	watchInterval = 10 * time.Millisecond
	// exposureShare and exposureAnswers limit the answers of a bad version to 1%
	// of the roll-out's requests or 60, whichever is more.
	exposureShare   = 0.01
	exposureAnswers = 60
)

// addRollout returns a function that adds a roll-out of medium@2 to the
// declarations.
//
// It restricts all organisations to the model medium. With the other models
// allowed, only 1 of 899 requests reached the new version, because small and
// large are the better choice for most classes.
func addRollout(deployment string) func(*config.Declarations) {
	return func(d *config.Declarations) {
		for i := range d.Organisations {
			d.Organisations[i].Allow = []string{workload.Medium.Model}
		}
		target, err := workload.ByName(deployment)
		if err != nil {
			return // StartFleet has already rejected unknown deployments.
		}
		r := target.Rollout(rolloutID)
		// Steps with smaller shares do not collect enough ratings within a run.
		r.Steps = []config.RolloutStep{
			{Share: 0.1, MinRated: 30}, {Share: 0.3, MinRated: 60},
			{Share: 0.6, MinRated: 100}, {Share: 1, MinRated: 100},
		}
		r.MinQuality = minQualityShare * mediumQuality(target)
		d.Rollouts = append(d.Rollouts, r)
	}
}

// mediumQuality returns the mean quality of medium@1 over the chat requests of
// all classes. The roll-out guard compares the mean over all classes; with a
// minimum derived from the class with the lowest quality, a version that is a
// fifth worse would pass.
func mediumQuality(d *workload.Deployment) float64 {
	sum, requests := 0.0, 0.0
	for _, c := range d.Classes {
		chat := c.Share * (1 - c.Service)
		sum, requests = sum+chat*c.Quality[1], requests+chat
	}
	return sum / requests
}

// watchRollout records whether and when the new version is withdrawn.
func watchRollout(ctx context.Context, run *Run, p Params) error {
	start := time.Now()
	for ctx.Err() == nil && time.Since(start) < p.Duration {
		if run.Fleet.Nodes()[0].Marks().Withdrawn(workload.Medium2) {
			run.Extra["stopped"] = 1
			run.Extra["stopped_after_ms"] = float64(time.Since(start).Milliseconds())
			return nil
		}
		time.Sleep(watchInterval)
	}
	return nil
}

// countRollout counts the roll-out's requests, which are those answered by
// either version of the model, and the answers of the new version.
func countRollout(run *Run) {
	requests, answers := 0, 0
	for i := range run.Outcomes {
		o := &run.Outcomes[i]
		if !o.Answered || o.Version.Model != workload.Medium2.Model {
			continue
		}
		requests++
		if o.Version == workload.Medium2 {
			answers++
		}
	}
	allowed := max(exposureAnswers, exposureShare*float64(requests))
	run.Extra["rollout_requests"], run.Extra["new_version_answers"] = float64(requests), float64(answers)
	run.Extra["answers_allowed"] = allowed
	switch {
	case !run.Fleet.Options.BadVersion:
		run.Extra["good_version_stopped"] = run.Extra["stopped"]
	case float64(answers) > allowed:
		run.Extra["exposure_above_target"] = 1
	}
}
