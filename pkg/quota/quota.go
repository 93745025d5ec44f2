// Package quota enforces the rate and spend limits of organisations across all
// nodes.
package quota

// ServiceName is the name of the quota service.
const ServiceName = "route.quota"

// Limiter enforces the limits of organisations.
type Limiter interface {
	// Take counts one request against the organisation's rate limit and checks
	// its spend limit. It fails with result.RateLimited or SpendLimited, with
	// run state not_run and a retry-after time.
	Take(organisation string) error
	// Spend adds the price of an answer to the organisation's spend.
	Spend(organisation string, price float64)
}
