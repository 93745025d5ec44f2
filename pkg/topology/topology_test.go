package topology

import "testing"

func config(routes ...*Route) *Config {
	c := &Config{Routes: routes, Organisations: []*Organisation{{Name: "studio", Keys: []string{"k1", "k2"}}}}
	c.Index()
	return c
}

// TestRouteLongestPrefix guards against serving a request by a less specific
// route or by a route of another host.
func TestRouteLongestPrefix(t *testing.T) {
	c := config(
		&Route{Name: "all", Host: "a.example", PathPrefix: "/"},
		&Route{Name: "songs", Host: "a.example", PathPrefix: "/songs/"},
		&Route{Name: "drafts", Host: "a.example", PathPrefix: "/songs/drafts/"},
		&Route{Name: "other", Host: "b.example", PathPrefix: "/songs/"},
	)
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/songs/drafts/7", "drafts"},
		{"a.example", "/songs/drafts", "songs"},
		{"a.example", "/songs/1", "songs"},
		{"a.example", "/x", "all"},
		{"b.example", "/songs/1", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/songs/1", ""},
	} {
		got := ""
		if r := c.Route(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("Route(%q, %q) = %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

// TestOrganisationByKey guards against accepting an unknown API key.
func TestOrganisationByKey(t *testing.T) {
	c := config()
	if o := c.Organisation("k2"); o == nil || o.Name != "studio" {
		t.Errorf("Organisation(k2) = %v", o)
	}
	for _, key := range []string{"", "k3", "K1"} {
		if o := c.Organisation(key); o != nil {
			t.Errorf("Organisation(%q) = %v, want none", key, o)
		}
	}
}

// TestRetryable guards against retrying a request that may run only once.
func TestRetryable(t *testing.T) {
	for _, tc := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Repeatable}, true},
		{Route{Kind: AtMostOnce}, false},
		{Route{Kind: AtMostOnce, Resumable: true}, false},
		{Route{Kind: EventStream}, false},
		{Route{Kind: EventStream, Resumable: true}, true},
	} {
		if got := tc.route.Retryable(); got != tc.want {
			t.Errorf("%s, resumable %v: Retryable() = %v", tc.route.Kind, tc.route.Resumable, got)
		}
	}
}
