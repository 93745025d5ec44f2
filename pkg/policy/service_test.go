package policy

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/runners"
)

type fakeSource struct {
	kernel.Base
	config.Static
}

func (*fakeSource) Name() string { return config.SourceServiceName }

type fakeUpstreamStatus struct {
	kernel.Base
	leaving map[string]bool
}

func (*fakeUpstreamStatus) Name() string                       { return runners.ServiceName }
func (f *fakeUpstreamStatus) UpstreamLeaving(name string) bool { return f.leaving[name] }

var (
	testModels   = []string{"ma", "mb"}
	testVersions = []string{"1", "2"}
	testDomains  = []string{"x", "y"}
	testOrgs     = []string{"o1", "o2", "o3"}
	testClasses  = []string{"draft", "tag", "none"}
	testNames    = []string{"u0", "u1", "u2", "u9"}
)

func drawRef(t *rapid.T) config.VersionRef {
	return config.VersionRef{
		Model:   rapid.SampledFrom(testModels).Draw(t, "model"),
		Version: rapid.SampledFrom(append(testVersions, "3")).Draw(t, "version"),
	}
}

func drawDeclarations(t *rapid.T) config.Declarations {
	var d config.Declarations
	allow := rapid.SliceOfN(rapid.SampledFrom([]string{"ma", "mb", "ma@1", "mb@2"}), 0, 3)
	classes := rapid.SliceOfN(rapid.SampledFrom(testClasses), 0, 2)
	for _, name := range testOrgs[:2] {
		d.Organisations = append(d.Organisations, config.Organisation{
			Name: name, Allow: allow.Draw(t, "allow"), Classes: classes.Draw(t, "classes"),
		})
	}
	d.Classes = []config.Class{{Name: "draft"}, {Name: "tag"}}
	for _, m := range testModels {
		d.Models = append(d.Models, config.Model{Name: m, Versions: []config.Version{{Name: "1"}, {Name: "2"}}})
	}
	refs := rapid.SliceOfN(rapid.Custom(drawRef), 0, 4)
	for i := range 3 {
		d.Upstreams = append(d.Upstreams, config.Upstream{
			Name: fmt.Sprintf("u%d", i), FailureDomain: rapid.SampledFrom(testDomains).Draw(t, "domain"),
			Serves: refs.Draw(t, "serves"),
		})
	}
	for _, ref := range rapid.SliceOfN(rapid.Custom(drawRef), 0, 1).Draw(t, "withdrawn") {
		d.Withdrawals = append(d.Withdrawals, config.Withdrawal{Version: ref})
	}
	return d
}

// oracleAllows evaluates the raw declarations. It shares no code with Service or
// the indexes of the snapshot.
func oracleAllows(d config.Declarations, marks config.Marks, leaving map[string]bool, a Attempt) bool {
	text := a.Version.Model + "@" + a.Version.Version
	ok := marks["version/"+text].State != "withdrawn" && (a.Class == "draft" || a.Class == "tag") &&
		a.Version.Version != "3" && !leaving[a.Upstream]
	for _, w := range d.Withdrawals {
		ok = ok && w.Version != a.Version
	}
	orgOK, upOK := false, false
	for _, o := range d.Organisations {
		list := "," + strings.Join(o.Allow, ",") + ","
		allowed := strings.Contains(list, ","+text+",") || strings.Contains(list, ","+a.Version.Model+",")
		class := len(o.Classes) == 0 || strings.Contains(strings.Join(o.Classes, ","), a.Class)
		orgOK = orgOK || (o.Name == a.Organisation && allowed && class)
	}
	for _, u := range d.Upstreams {
		serves := strings.Contains(fmt.Sprint(u.Serves), text)
		upOK = upOK || (u.Name == a.Upstream && serves && marks["domain/"+u.FailureDomain].State != "out")
	}
	return ok && orgOK && upOK
}

func newTestService(t interface{ Fatal(...any) }, c clock.Clock) (*Service, *fakeSource, *fakeUpstreamStatus) {
	k := kernel.New(c, slog.New(slog.NewTextHandler(io.Discard, nil)))
	source, upstreams, service := &fakeSource{}, &fakeUpstreamStatus{leaving: map[string]bool{}}, NewService(Options{})
	if err := k.Register(source, upstreams, service); err != nil {
		t.Fatal(err)
	}
	if err := service.Provision(k); err != nil {
		t.Fatal(err)
	}
	return service, source, upstreams
}

// Guards against tickets for attempts that the declarations, the marks or the
// runner's state forbid, and against refusals of allowed ones, after any
// sequence of changes. Also guards against tickets valid beyond TicketLifetime.
func TestCheckMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := clock.NewFake(time.Unix(0, 0))
		service, source, upstreams := newTestService(t, fake)
		if _, err := service.Check(Attempt{}); err == nil {
			t.Fatal("ticket issued without a configuration")
		}
		var d config.Declarations
		for step := range rapid.IntRange(1, 6).Draw(t, "changes") {
			if step == 0 || rapid.Bool().Draw(t, "publish") {
				d = drawDeclarations(t)
				source.Snapshot = config.NewSnapshot(uint64(step+1), "", d)
			}
			marks := config.Marks{}
			for _, domain := range testDomains {
				state := rapid.SampledFrom([]config.MarkState{"", config.MarkIn, config.MarkOut}).Draw(t, "mark")
				marks["domain/"+domain] = config.Mark{State: state}
			}
			if rapid.Bool().Draw(t, "withdraw") {
				marks["version/"+drawRef(t).String()] = config.Mark{State: config.MarkWithdrawn}
			}
			source.MarkSet = marks
			upstreams.leaving = map[string]bool{rapid.SampledFrom(testNames).Draw(t, "leaving"): true}
			checkAll(t, service, fake, d, marks, upstreams.leaving)
		}
	})
}

func checkAll(t *rapid.T, service *Service, fake *clock.Fake, d config.Declarations, marks config.Marks, leaving map[string]bool) {
	for range 24 {
		a := Attempt{
			Organisation: rapid.SampledFrom(testOrgs).Draw(t, "organisation"),
			Class:        rapid.SampledFrom(testClasses).Draw(t, "class"),
			Version:      drawRef(t),
			Upstream:     rapid.SampledFrom(testNames).Draw(t, "upstream"),
		}
		ticket, err := service.Check(a)
		want := oracleAllows(d, marks, leaving, a)
		if (err == nil) != want || ticket.Valid(fake.Now()) != want {
			t.Fatalf("%+v: error %v, ticket valid %t, oracle %t", a, err, ticket.Valid(fake.Now()), want)
		}
		fake.Advance(TicketLifetime)
		if ticket.Valid(fake.Now()) != want {
			t.Fatal("ticket expired within its lifetime")
		}
		fake.Advance(time.Nanosecond)
		if ticket.Valid(fake.Now()) {
			t.Fatal("ticket still valid after its lifetime")
		}
		allowed, err := service.Allowed(a.Organisation, a.Class)
		if want && (err != nil || !slices.Contains(allowed, a.Version)) {
			t.Fatalf("%s is allowed but not listed in %v (%v)", a.Version, allowed, err)
		}
		allowedOn := func(name string) bool {
			a.Upstream = name
			return oracleAllows(d, marks, nil, a)
		}
		for _, a.Version = range allowed {
			if !slices.ContainsFunc(testNames, allowedOn) {
				t.Fatalf("%s is listed but not allowed on any upstream", a.Version)
			}
		}
	}
}
