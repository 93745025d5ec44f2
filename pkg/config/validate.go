package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"

	"cassiapin/pkg/tomlfile"
)

// namePattern keeps names safe in object keys, header values, metric labels
// and paths.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// maxDeclarations bounds each list, so that a configuration fits within the
// platform's size limit for one value.
const maxDeclarations = 4096

// validator collects the problems of a bundle.
type validator struct {
	bundle   *Bundle
	snapshot *Snapshot
	problems tomlfile.Problems
}

func (b *Bundle) validate() tomlfile.Problems {
	v := &validator{bundle: b, snapshot: NewSnapshot(0, "", b.Declarations)}
	v.failureDomains()
	v.classes()
	v.models()
	v.organisations()
	v.upstreams()
	v.services()
	v.rollouts()
	v.withdrawals()
	v.links()
	v.limits()
	return v.problems
}

func (v *validator) fail(path, format string, args ...any) {
	v.problems = append(v.problems, v.bundle.problem(path, format, args...))
}

// checkNames checks that the names in a list are well formed and unique.
func checkNames[T any](v *validator, kind string, list []T, name func(T) string) {
	if len(list) > maxDeclarations {
		v.fail(kind+"[0]", "%d declarations of %s exceed the limit of %d", len(list), kind, maxDeclarations)
	}
	seen := make(map[string]bool)
	for i, item := range list {
		n, path := name(item), fmt.Sprintf("%s[%d].name", kind, i)
		switch {
		case !namePattern.MatchString(n):
			v.fail(path, "%s name %q must have 1 to 64 letters, digits, dots, dashes or underscores", kind, n)
		case seen[n]:
			v.fail(path, "%s %q is declared twice", kind, n)
		}
		seen[n] = true
	}
}

func (v *validator) failureDomains() {
	list := v.bundle.Declarations.FailureDomains
	checkNames(v, "failure_domain", list, func(d FailureDomain) string { return d.Name })
	for i, d := range list {
		if !namePattern.MatchString(d.Region) {
			v.fail(fmt.Sprintf("failure_domain[%d].region", i), "failure domain %q needs a region", d.Name)
		}
	}
}

func (v *validator) classes() {
	list := v.bundle.Declarations.Classes
	checkNames(v, "class", list, func(c Class) string { return c.Name })
	for i, c := range list {
		at := func(field string) string { return fmt.Sprintf("class[%d].%s", i, field) }
		if c.QualityTarget < 0 || c.QualityTarget > 1 {
			v.fail(at("quality_target"), "quality_target %v is not between 0 and 1", c.QualityTarget)
		}
		if c.Deadline <= 0 {
			v.fail(at("deadline"), "class %q needs a deadline above zero", c.Name)
		}
		if c.FirstToken < 0 || c.FirstToken > c.Deadline {
			v.fail(at("first_token"), "first_token is not between 0 and the deadline")
		}
		if c.Priority < 0 || c.Priority > 9 {
			v.fail(at("priority"), "priority %d is not between 0 and 9", c.Priority)
		}
		switch c.Check {
		case "", CheckNone, CheckHeuristic, CheckRating:
		default:
			v.fail(at("check"), "check %q is not one of none, heuristic, rating", c.Check)
		}
		if c.NonIdempotent && c.Explore {
			v.fail(at("explore"), "a non-idempotent class cannot explore")
		}
	}
}

func (v *validator) models() {
	list := v.bundle.Declarations.Models
	checkNames(v, "model", list, func(m Model) string { return m.Name })
	for i, m := range list {
		if len(m.Versions) == 0 {
			v.fail(fmt.Sprintf("model[%d]", i), "model %q has no version", m.Name)
		}
		seen := make(map[string]bool)
		for j, version := range m.Versions {
			v.version(fmt.Sprintf("model[%d].version[%d]", i, j), m, version, seen)
		}
	}
}

func (v *validator) version(path string, m Model, version Version, seen map[string]bool) {
	if !namePattern.MatchString(version.Name) {
		v.fail(path+".name", "version name %q of model %q is not valid", version.Name, m.Name)
	}
	if seen[version.Name] {
		v.fail(path+".name", "version %q of model %q is declared twice", version.Name, m.Name)
	}
	seen[version.Name] = true
	if version.PriceInput < 0 || version.PriceOutput < 0 {
		v.fail(path, "prices of %s@%s must not be negative", m.Name, version.Name)
	}
	if version.PriorQuality < 0 || version.PriorQuality > 1 {
		v.fail(path+".prior_quality", "prior_quality %v is not between 0 and 1", version.PriorQuality)
	}
	for class, quality := range version.ClassQuality {
		if _, ok := v.snapshot.Class(class); !ok {
			v.fail(path+".class_quality", "class_quality names the undeclared class %q", class)
		}
		if quality < 0 || quality > 1 {
			v.fail(path+".class_quality", "class_quality of %q is not between 0 and 1", class)
		}
	}
}

func (v *validator) organisations() {
	list := v.bundle.Declarations.Organisations
	checkNames(v, "organisation", list, func(o Organisation) string { return o.Name })
	owner := make(map[string]string)
	for i, o := range list {
		v.organisationKeys(i, o, owner)
		v.organisationRights(i, o)
		if o.Weight < 0 || o.RequestsPerSecond < 0 || o.SpendPerHour < 0 {
			v.fail(fmt.Sprintf("organisation[%d]", i), "weight and limits of %q must not be negative", o.Name)
		}
	}
}

func (v *validator) organisationKeys(i int, o Organisation, owner map[string]string) {
	path := fmt.Sprintf("organisation[%d].key_sha256", i)
	if len(o.KeySHA256) == 0 {
		v.fail(path, "organisation %q has no key_sha256", o.Name)
	}
	for _, key := range o.KeySHA256 {
		if raw, err := hex.DecodeString(key); err != nil || len(raw) != 32 {
			v.fail(path, "key_sha256 of %q is not 64 hexadecimal digits", o.Name)
			continue
		}
		if other, used := owner[key]; used {
			v.fail(path, "organisations %q and %q have the same key", other, o.Name)
		}
		owner[key] = o.Name
	}
}

func (v *validator) organisationRights(i int, o Organisation) {
	at := func(field string) string { return fmt.Sprintf("organisation[%d].%s", i, field) }
	if len(o.Allow) == 0 {
		v.fail(at("allow"), "organisation %q may use no model", o.Name)
	}
	for _, a := range o.Allow {
		if !v.knownModelOrVersion(a) {
			v.fail(at("allow"), "organisation %q allows %q, which is not declared", o.Name, a)
		}
	}
	for _, c := range o.Classes {
		if _, ok := v.snapshot.Class(c); !ok {
			v.fail(at("classes"), "class %q is not declared", c)
		}
	}
	if _, ok := v.snapshot.Class(o.DefaultClass); !ok {
		v.fail(at("default_class"), "default_class %q of %q is not declared", o.DefaultClass, o.Name)
	} else if !o.MayUseClass(o.DefaultClass) {
		v.fail(at("default_class"), "default_class %q of %q is not among its classes", o.DefaultClass, o.Name)
	}
}

func (v *validator) knownModelOrVersion(name string) bool {
	if ref, err := ParseVersionRef(name); err == nil {
		_, ok := v.snapshot.Version(ref)
		return ok
	}
	for _, m := range v.bundle.Declarations.Models {
		if m.Name == name {
			return true
		}
	}
	return false
}

func (v *validator) upstreams() {
	list := v.bundle.Declarations.Upstreams
	checkNames(v, "upstream", list, func(u Upstream) string { return u.Name })
	for i, u := range list {
		at := func(field string) string { return fmt.Sprintf("upstream[%d].%s", i, field) }
		v.endpoint(at, u.URL, u.Region, u.FailureDomain)
		if len(u.Serves) == 0 {
			v.fail(at("serves"), "upstream %q serves no version", u.Name)
		}
		for _, ref := range u.Serves {
			if _, ok := v.snapshot.Version(ref); !ok {
				v.fail(at("serves"), "upstream %q serves %s, which is not declared", u.Name, ref)
			}
		}
		if u.Capacity <= 0 {
			v.fail(at("capacity"), "upstream %q needs a capacity above zero", u.Name)
		}
		if u.ColdLimit <= 0 || u.ColdLimit > u.Capacity {
			v.fail(at("cold_limit"), "cold_limit of %q is not between 1 and its capacity", u.Name)
		}
	}
}

// endpoint checks an address and its location.
func (v *validator) endpoint(at func(string) string, address, region, domain string) {
	if reason := checkURL(address); reason != "" {
		v.fail(at("url"), "url %q %s", address, reason)
	}
	d, ok := v.snapshot.FailureDomain(domain)
	switch {
	case !ok:
		v.fail(at("failure_domain"), "failure domain %q is not declared", domain)
	case d.Region != region:
		v.fail(at("region"), "failure domain %q is in region %q, not %q", domain, d.Region, region)
	}
}

// checkURL returns the problem of a base URL, or "" if it is valid.
func checkURL(text string) string {
	u, err := url.Parse(text)
	if err != nil {
		return "cannot be parsed"
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return "needs the scheme http or https"
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return "needs an IP address and a port as host"
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return "must not have user, query or fragment"
	}
	return ""
}

func (v *validator) services() {
	list := v.bundle.Declarations.Services
	checkNames(v, "service", list, func(s Service) string { return s.Name })
	for i, s := range list {
		path := fmt.Sprintf("service[%d]", i)
		if len(s.Endpoints) == 0 {
			v.fail(path, "service %q has no endpoint", s.Name)
		}
		for j, e := range s.Endpoints {
			at := func(field string) string { return fmt.Sprintf("%s.endpoint[%d].%s", path, j, field) }
			v.endpoint(at, e.URL, e.Region, e.FailureDomain)
		}
		if s.Timeout <= 0 {
			v.fail(path+".timeout", "service %q needs a timeout above zero", s.Name)
		}
		if s.AttemptPath != "" && s.AttemptPath[0] != '/' {
			v.fail(path+".attempt_path", "attempt_path %q does not start with /", s.AttemptPath)
		}
		if s.PricePerCall < 0 {
			v.fail(path+".price_per_call", "price_per_call of %q must not be negative", s.Name)
		}
		for j, r := range s.Routes {
			if r.Method == "" || r.Prefix == "" || r.Prefix[0] != '/' {
				v.fail(fmt.Sprintf("%s.route[%d]", path, j), "a route needs a method and a prefix that starts with /")
			}
		}
		for _, o := range s.Organisations {
			if _, ok := v.snapshot.Organisation(o); !ok {
				v.fail(path+".organisations", "organisation %q is not declared", o)
			}
		}
	}
}

func (v *validator) rollouts() {
	list := v.bundle.Declarations.Rollouts
	checkNames(v, "rollout", list, func(r Rollout) string { return r.ID })
	activeRollout := make(map[string]string)
	for i, r := range list {
		path := fmt.Sprintf("rollout[%d]", i)
		for _, version := range []string{r.From, r.To} {
			if _, ok := v.snapshot.Version(VersionRef{Model: r.Model, Version: version}); !ok {
				v.fail(path, "rollout %q names %s@%s, which is not declared", r.ID, r.Model, version)
			}
		}
		if r.From == r.To {
			v.fail(path+".to", "rollout %q has the same version in from and to", r.ID)
		}
		if other, ok := activeRollout[r.Model]; ok {
			v.fail(path+".model", "rollouts %q and %q are for the same model", other, r.ID)
		}
		activeRollout[r.Model] = r.ID
		v.rolloutSteps(path, r)
		v.rolloutGuards(path, r)
	}
}

func (v *validator) rolloutSteps(path string, r Rollout) {
	if len(r.Steps) == 0 {
		v.fail(path, "rollout %q has no step", r.ID)
	}
	last := 0.0
	for j, s := range r.Steps {
		if s.Share <= last || s.Share > 1 {
			v.fail(fmt.Sprintf("%s.step[%d].share", path, j), "shares must increase and be between 0 and 1")
		}
		if s.MinRated < 1 || s.MinTime < 0 {
			v.fail(fmt.Sprintf("%s.step[%d]", path, j), "a step needs min_rated of at least 1 and no negative min_time")
		}
		last = s.Share
	}
}

func (v *validator) rolloutGuards(path string, r Rollout) {
	if r.MinQuality < 0 || r.MinQuality > 1 {
		v.fail(path+".min_quality", "min_quality is not between 0 and 1")
	}
	if r.MaxErrorRate < 0 || r.MaxErrorRate > 1 {
		v.fail(path+".max_error_rate", "max_error_rate is not between 0 and 1")
	}
	if r.MaxFirstToken < 0 {
		v.fail(path+".max_first_token", "max_first_token must not be negative")
	}
}

func (v *validator) withdrawals() {
	for i, w := range v.bundle.Declarations.Withdrawals {
		if _, ok := v.snapshot.Version(w.Version); !ok {
			v.fail(fmt.Sprintf("withdrawal[%d].version", i), "withdrawn version %s is not declared", w.Version)
		}
	}
}

func (v *validator) links() {
	regions := make(map[string]bool)
	for _, d := range v.bundle.Declarations.FailureDomains {
		regions[d.Region] = true
	}
	for i, l := range v.bundle.Declarations.Links {
		path := fmt.Sprintf("link[%d].between", i)
		if len(l.Between) != 2 || l.Between[0] == l.Between[1] {
			v.fail(path, "a link needs two different regions")
		}
		for _, r := range l.Between {
			if !regions[r] {
				v.fail(path, "region %q has no failure domain", r)
			}
		}
		if l.BytesPerSecond < 0 {
			v.fail(fmt.Sprintf("link[%d].bytes_per_second", i), "bytes_per_second must not be negative")
		}
	}
}

func (v *validator) limits() {
	l := v.bundle.Declarations.Limits
	if l.BodyBytes < 0 || l.ConcurrentRequests < 0 || l.QueuePerOrganisation < 0 || l.ShardsPerRegion < 0 ||
		l.EntryTTL < 0 || l.DrainTimeout < 0 || l.TokenTimeout < 0 || l.IdempotencyRetention < 0 ||
		l.PlatformWritesPerSecond < 0 || l.WeightFetchesPerMinute < 0 {
		v.fail("limits", "limits must not be negative")
	}
	if l.RetryRatio < 0 || l.RetryRatio > DefaultRetryRatio {
		v.fail("limits.retry_ratio", "retry_ratio is not between 0 and %v", DefaultRetryRatio)
	}
	if l.ExploreShare < 0 || l.ExploreShare > 0.5 {
		v.fail("limits.explore_share", "explore_share is not between 0 and 0.5")
	}
	full := l.WithDefaults()
	for _, c := range v.bundle.Declarations.Classes {
		if c.Deadline > full.DrainTimeout {
			v.fail("limits.drain_timeout", "drain_timeout %s is below the deadline of class %q, so a shutdown could interrupt its requests",
				full.DrainTimeout.Std(), c.Name)
		}
	}
}
