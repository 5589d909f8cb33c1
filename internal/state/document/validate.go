package document

import (
	"regexp"
	"sort"
	"strconv"
)

// maxTimeoutMs bounds the timeouts and cold starts of services in milliseconds, 24 hours.
const maxTimeoutMs = 24 * 60 * 60 * 1000

// nameProblem describes namePattern in error messages.
const nameProblem = "name must be lower-case letters, digits and hyphens, at most 63"

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// Validate returns a *FieldError for the first invalid field. It checks services, routes,
// zones,
// organisations, teams and limits, in this order, and sections of one kind in order of name.
func (d *Document) Validate() error {
	serviceByHost := map[string]string{}
	for _, name := range sortedKeys(d.Services) {
		service := d.Services[name]
		if err := d.validateService("services/"+name, name, &service, serviceByHost); err != nil {
			return err
		}
	}
	if err := d.validateRoutes(); err != nil {
		return err
	}
	for _, name := range sortedKeys(d.Zones) {
		if err := d.validateZone("zones/"+name, name, d.Zones[name]); err != nil {
			return err
		}
	}
	if err := d.validateOrganisations(); err != nil {
		return err
	}
	teamByDigest := map[string]string{}
	for _, name := range sortedKeys(d.Teams) {
		if err := validateTeam("teams/"+name, name, d.Teams[name], teamByDigest); err != nil {
			return err
		}
	}
	return d.Limits.validate()
}

// validateService checks a service and records its hosts in serviceByHost. It rejects a host
// that is already there, since a host selects one service.
func (d *Document) validateService(path, name string, s *Service, serviceByHost map[string]string) error {
	if !namePattern.MatchString(name) {
		return &FieldError{path, nameProblem}
	}
	if err := d.validateOwner(path, s.Owner); err != nil {
		return err
	}
	if s.TimeoutMs < 1 || s.TimeoutMs > maxTimeoutMs {
		return &FieldError{path + "/timeout_ms", "must be between 1 and " + strconv.Itoa(maxTimeoutMs)}
	}
	if err := s.validateUpstreams(path); err != nil {
		return err
	}
	for i, rule := range s.Rules {
		if err := rule.validate(path + "/rules/" + strconv.Itoa(i)); err != nil {
			return err
		}
	}
	for _, host := range s.Hosts {
		if other, taken := serviceByHost[host]; taken {
			return &FieldError{path + "/hosts", "host " + host + " belongs to service " + other}
		}
		serviceByHost[host] = name
	}
	if s.Measuring.PerSecond < 0 {
		return &FieldError{path + "/measuring/per_second", "must not be negative"}
	}
	return s.Objective.validate(path + "/objective")
}

// validateUpstreams checks the settings for the service's upstreams and their cold start.
func (s *Service) validateUpstreams(path string) error {
	switch {
	case s.HealthPath != "" && s.HealthPath[0] != '/':
		return &FieldError{path + "/health_path", "must begin with /"}
	case s.MaxConnections < 0:
		return &FieldError{path + "/max_connections", "must not be negative"}
	case s.ColdStartMs < 0 || s.ColdStartMs > maxTimeoutMs:
		return &FieldError{path + "/cold_start_ms", "must be between 0 and " + strconv.Itoa(maxTimeoutMs)}
	case s.WarmupPerSecond < 0:
		return &FieldError{path + "/warmup_per_second", "must not be negative"}
	}
	return nil
}

func (r RequestRule) validate(path string) error {
	if r.TimeoutMs < 0 || r.TimeoutMs > maxTimeoutMs {
		return &FieldError{path + "/timeout_ms", "must be between 0 and " + strconv.Itoa(maxTimeoutMs)}
	}
	if r.PathPrefix != "" && r.PathPrefix[0] != '/' {
		return &FieldError{path + "/path_prefix", "must begin with /"}
	}
	for i, method := range r.Methods {
		if !methodPattern.MatchString(method) {
			return &FieldError{path + "/methods/" + strconv.Itoa(i), "must be upper-case letters"}
		}
	}
	return nil
}

func (o Objective) validate(path string) error {
	if o == (Objective{}) {
		return nil
	}
	if o.GoodWithinMs < 1 {
		return &FieldError{path + "/good_within_ms", "must be at least 1"}
	}
	if o.Share <= 0 || o.Share >= 1 {
		return &FieldError{path + "/share", "must be between 0 and 1, both excluded"}
	}
	if o.WindowHours < 1 {
		return &FieldError{path + "/window_hours", "must be at least 1"}
	}
	return nil
}

func (d *Document) validateZone(path, name string, z Zone) error {
	if !namePattern.MatchString(name) {
		return &FieldError{path, nameProblem}
	}
	if err := d.validateOwner(path, z.Owner); err != nil {
		return err
	}
	if z.State != ZoneIn && z.State != ZoneOut {
		return &FieldError{path + "/state", `must be "in" or "out"`}
	}
	return nil
}

func (d *Document) validateOwner(path, owner string) error {
	if _, ok := d.Teams[owner]; !ok {
		return &FieldError{path + "/owner", "no team named " + strconv.Quote(owner)}
	}
	return nil
}

// validateTeam checks a team and records its token digests in teamByDigest. It rejects a
// digest that is already there, since a token identifies one team.
func validateTeam(path, name string, team Team, teamByDigest map[string]string) error {
	if !namePattern.MatchString(name) {
		return &FieldError{path, nameProblem}
	}
	for i, digest := range team.TokenSHA256 {
		field := path + "/token_sha256/" + strconv.Itoa(i)
		if !digestPattern.MatchString(digest) {
			return &FieldError{field, "must be 64 lower-case hexadecimal digits"}
		}
		if other, taken := teamByDigest[digest]; taken {
			return &FieldError{field, "token belongs to team " + other}
		}
		teamByDigest[digest] = name
	}
	return nil
}

func (l Limits) validate() error {
	if l.MaxBodyBytes < 0 {
		return &FieldError{"limits/max_body_bytes", "must not be negative"}
	}
	if l.RetryShare < 0 || l.RetryShare > 1 {
		return &FieldError{"limits/retry_share", "must be between 0 and 1"}
	}
	if share := l.HedgeShareOrDefault(); share < 0 || share > 1 {
		return &FieldError{"limits/hedge_share", "must be between 0 and 1"}
	}
	if l.MaxHeaderBytes < 0 {
		return &FieldError{"limits/max_header_bytes", "must not be negative"}
	}
	if l.HeaderTimeoutMs < 0 {
		return &FieldError{"limits/header_timeout_ms", "must not be negative"}
	}
	if l.IdleTimeoutMs < 0 {
		return &FieldError{"limits/idle_timeout_ms", "must not be negative"}
	}
	if l.ClaimHours < 0 {
		return &FieldError{"limits/claim_hours", "must not be negative"}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
