package front

import (
	"errors"
	"math"
	"net/http"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/team"
)

// Reasons for refusing a request because of its API key.
const (
	reasonMalformedKey = "malformed-key"
	reasonNoKey        = "no-key"
	reasonUnknownKey   = "unknown-key"
	// reasonUnconfirmedKey means that the configuration of this VM may be too old to know the key.
	reasonUnconfirmedKey = "unconfirmed-key"
	// reasonRevokedKey means that the key was removed while the request was in progress.
	reasonRevokedKey = "revoked-key"
	// reasonOldConfiguration means that the key may have been removed since the configuration of
	// this VM was read.
	reasonOldConfiguration = "configuration-too-old"
)

// errKeyNotValid ends an attempt whose key became invalid before its first byte was written.
var errKeyNotValid = errors.New("the key of the caller is no longer known to be valid")

// KeyLimits bound the age of the configuration that decides on API keys.
type KeyLimits struct {
	// MaxAge is the age above which requests with a key are refused, since the key may have been
	// removed. 0: no limit.
	MaxAge time.Duration
	// MaxUnknownAge is the age above which an unknown key may have been added since.
	MaxUnknownAge time.Duration
}

// identify finds the team of the caller and replaces the key in the headers by its name. It has no
// effect if the configuration has no teams.
func (q *request) identify(routes *routing.Table) (status int, reason string) {
	teams := routes.Teams()
	if teams == nil {
		return 0, ""
	}
	codec := q.h.cfg.HeaderCodec
	key, credentials := codec.ParseKey(q.r.Header)
	// Connection may name any header for removal on the way, also that of the team.
	call.RemoveHopByHop(q.r.Header)
	codec.SetTeam(q.r.Header, "")
	switch {
	case credentials == team.Malformed:
		return http.StatusUnauthorized, reasonMalformedKey
	case credentials == team.NoKey && q.route.AllowAnonymous:
		return 0, ""
	case credentials == team.NoKey:
		return q.unauthorized(reasonNoKey)
	}
	hash := team.HashKey(key)
	t, ok := teams.Lookup(hash)
	if !ok {
		return q.unauthorized(reasonUnknownKey)
	}
	q.team, q.key = t, hash
	codec.SetTeam(q.r.Header, t.Name)
	if t.Priority != nil {
		q.priority = *t.Priority
	}
	if reason := q.keyRefusal(); reason != "" {
		return http.StatusServiceUnavailable, reason
	}
	return 0, ""
}

// unauthorized returns the answer to a request that the configuration of this VM does not allow.
// Callers do not come back after a 401, so it is given only if a later configuration would be known.
func (q *request) unauthorized(reason string) (int, string) {
	if q.h.cfg.ConfigurationAge() > q.h.cfg.KeyLimits().MaxUnknownAge {
		return http.StatusServiceUnavailable, reasonUnconfirmedKey
	}
	return http.StatusUnauthorized, reason
}

// configurationAgeMs returns the bound of the age of the configuration for log lines, or -1 if there is none.
func (q *request) configurationAgeMs() int64 {
	age := q.h.cfg.ConfigurationAge()
	if age == math.MaxInt64 {
		return -1
	}
	return age.Milliseconds()
}

// keyRefusal returns why the request must not be sent to a server with its key, or "". The age is
// read before the configuration, so that the configuration is at most that old.
func (q *request) keyRefusal() string {
	if q.team == nil {
		return ""
	}
	age, limit := q.h.cfg.ConfigurationAge(), q.h.cfg.KeyLimits().MaxAge
	if limit > 0 && age > limit {
		return reasonOldConfiguration
	}
	teams := q.h.cfg.Routes().Teams()
	if teams == nil {
		return ""
	}
	if t, ok := teams.Lookup(q.key); !ok || t.Name != q.team.Name {
		return reasonRevokedKey
	}
	return ""
}

// checkKey is called immediately before the first byte of an attempt is written.
func (q *request) checkKey() error {
	if q.keyRefusal() != "" {
		return errKeyNotValid
	}
	return nil
}

// endForKey ends a request that must not be sent to a further server with its key.
func (q *request) endForKey(reason string) {
	if q.attempts > 0 {
		q.finish(http.StatusBadGateway, reason, 0)
		return
	}
	q.refuse(reason)
}

// allowsRegion reports whether servers of region may serve the request: the home regions of the
// route and of the team both bind.
func (q *request) allowsRegion(region string) bool {
	return q.route.AllowsRegion(region) && (q.team == nil || q.team.AllowsRegion(region))
}

// teamName returns the name of the caller's team, or "".
func (q *request) teamName() string {
	if q.team == nil {
		return ""
	}
	return q.team.Name
}

// teamWeight returns the weight of the caller's team when room is divided among teams: its usage
// limit, or 0 if it has none.
func (q *request) teamWeight() float64 {
	if q.team == nil {
		return 0
	}
	return q.team.RatePerSecond
}
