package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

// ParseVersionRef parses "model@version".
func ParseVersionRef(s string) (VersionRef, error) {
	model, version, ok := strings.Cut(s, "@")
	if !ok || model == "" || version == "" || strings.Contains(version, "@") {
		return VersionRef{}, errors.Newf("%q is not of the form model@version", s)
	}
	return VersionRef{Model: model, Version: version}, nil
}

// Snapshot is a numbered configuration with its indexes. It is immutable.
type Snapshot struct {
	// Number orders configurations; a node never replaces a configuration by one
	// with a lower number.
	Number uint64
	// Hash is the hex SHA-256 of the declarations' canonical JSON.
	Hash         string
	Declarations Declarations
	// Limits are the declared limits with defaults applied.
	Limits Limits

	organisations map[string]*Organisation
	classes       map[string]*Class
	versions      map[VersionRef]*Version
	upstreams     map[string]*Upstream
	services      map[string]*Service
	domains       map[string]*FailureDomain
	withdrawn     map[VersionRef]bool
	serving       map[VersionRef][]*Upstream
	keys          []organisationKey
}

type organisationKey struct {
	hash         [sha256.Size]byte
	organisation *Organisation
}

// NewSnapshot indexes validated declarations. The caller must not change d
// afterwards.
func NewSnapshot(number uint64, hash string, d Declarations) *Snapshot {
	s := &Snapshot{
		Number:        number,
		Hash:          hash,
		Declarations:  d,
		Limits:        d.Limits.WithDefaults(),
		organisations: make(map[string]*Organisation),
		classes:       make(map[string]*Class),
		versions:      make(map[VersionRef]*Version),
		upstreams:     make(map[string]*Upstream),
		services:      make(map[string]*Service),
		domains:       make(map[string]*FailureDomain),
		withdrawn:     make(map[VersionRef]bool),
		serving:       make(map[VersionRef][]*Upstream),
	}
	s.indexOrganisations()
	s.indexModels()
	s.indexUpstreams()
	return s
}

func (s *Snapshot) indexOrganisations() {
	for i := range s.Declarations.Organisations {
		o := &s.Declarations.Organisations[i]
		s.organisations[o.Name] = o
		for _, text := range o.KeySHA256 {
			raw, err := hex.DecodeString(text)
			if err != nil || len(raw) != sha256.Size {
				continue // validate reports such a hash.
			}
			s.keys = append(s.keys, organisationKey{hash: [sha256.Size]byte(raw), organisation: o})
		}
	}
	for i := range s.Declarations.Classes {
		c := &s.Declarations.Classes[i]
		s.classes[c.Name] = c
	}
}

func (s *Snapshot) indexModels() {
	for i := range s.Declarations.Models {
		m := &s.Declarations.Models[i]
		for j := range m.Versions {
			v := &m.Versions[j]
			s.versions[VersionRef{Model: m.Name, Version: v.Name}] = v
		}
	}
	for _, w := range s.Declarations.Withdrawals {
		s.withdrawn[w.Version] = true
	}
}

func (s *Snapshot) indexUpstreams() {
	for i := range s.Declarations.Upstreams {
		u := &s.Declarations.Upstreams[i]
		s.upstreams[u.Name] = u
		for _, ref := range u.Serves {
			s.serving[ref] = append(s.serving[ref], u)
		}
	}
	for i := range s.Declarations.Services {
		service := &s.Declarations.Services[i]
		s.services[service.Name] = service
	}
	for i := range s.Declarations.FailureDomains {
		d := &s.Declarations.FailureDomains[i]
		s.domains[d.Name] = d
	}
}

// OrganisationByKey returns the organisation that owns the API key. It compares
// every declared hash in constant time, so that the response time does not
// depend on the key.
func (s *Snapshot) OrganisationByKey(key string) (*Organisation, bool) {
	sum := sha256.Sum256([]byte(key))
	var found *Organisation
	for i := range s.keys {
		if subtle.ConstantTimeCompare(sum[:], s.keys[i].hash[:]) == 1 {
			found = s.keys[i].organisation
		}
	}
	return found, found != nil
}

// Organisation returns the organisation with the given name.
func (s *Snapshot) Organisation(name string) (*Organisation, bool) {
	o, ok := s.organisations[name]
	return o, ok
}

// Class returns the request class with the given name.
func (s *Snapshot) Class(name string) (*Class, bool) {
	c, ok := s.classes[name]
	return c, ok
}

// Version returns the declaration of a model version.
func (s *Snapshot) Version(ref VersionRef) (*Version, bool) {
	v, ok := s.versions[ref]
	return v, ok
}

// Withdrawn reports whether the declarations withdraw the version.
func (s *Snapshot) Withdrawn(ref VersionRef) bool { return s.withdrawn[ref] }

// Upstream returns the runner with the given name.
func (s *Snapshot) Upstream(name string) (*Upstream, bool) {
	u, ok := s.upstreams[name]
	return u, ok
}

// Serving returns the runners that serve the version. The caller must not
// change the slice.
func (s *Snapshot) Serving(ref VersionRef) []*Upstream { return s.serving[ref] }

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// FailureDomain returns the declaration of a failure domain.
func (s *Snapshot) FailureDomain(name string) (*FailureDomain, bool) {
	d, ok := s.domains[name]
	return d, ok
}

// Allows reports whether the organisation may use the version.
func (o *Organisation) Allows(ref VersionRef) bool {
	for _, a := range o.Allow {
		if a == ref.Model || a == ref.String() {
			return true
		}
	}
	return false
}

// MayUseClass reports whether the organisation may use the request class.
func (o *Organisation) MayUseClass(class string) bool {
	if len(o.Classes) == 0 {
		return true
	}
	for _, c := range o.Classes {
		if c == class {
			return true
		}
	}
	return false
}

// Idempotent reports whether a call of the service may be repeated. The longest
// matching route decides.
func (s *Service) Idempotent(method, path string) bool {
	best, matched := -1, false
	for _, r := range s.Routes {
		if r.Method == method && strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > best {
			best, matched = len(r.Prefix), r.Idempotent
		}
	}
	if best >= 0 {
		return matched
	}
	return method == "GET" || method == "HEAD"
}
