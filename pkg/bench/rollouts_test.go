package bench

import (
	"testing"

	"cassiapin/pkg/config"
	"cassiapin/pkg/workload"
)

// Guards against a roll-out that hardly any request reaches, and against a
// minimum quality that a version a fifth worse meets or the good version misses.
func TestRolloutScenarioDistinguishesVersions(t *testing.T) {
	for _, name := range []string{"berceuse", "vaxmynd"} {
		d, err := workload.ByName(name)
		if err != nil {
			t.Fatal(err)
		}
		urls := workload.URLs{Runners: map[string]string{}, Service: map[string]string{}}
		for _, r := range d.Runners {
			urls.Runners[r.Name] = "http://127.0.0.1:1"
		}
		for _, domain := range d.Domains {
			urls.Service[domain.Name] = "http://127.0.0.1:2"
		}
		decl := d.Declarations(urls)
		addRollout(name)(&decl)
		for _, o := range decl.Organisations {
			if len(o.Allow) != 1 || o.Allow[0] != workload.Medium2.Model {
				t.Errorf("%s: %s may use %v", name, o.Name, o.Allow)
			}
		}
		bound, old := decl.Rollouts[0].MinQuality, mediumQuality(d)
		if bad := old * workload.BadFactor; bad > bound-0.1 || old < bound {
			t.Errorf("%s: minimum quality %.3f does not separate the old version (%.3f) from a bad one (%.3f)", name, bound, old, bad)
		}
		if err := config.Check(decl); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
