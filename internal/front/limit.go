package front

import (
	"net/http"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/team"
	"goldcresthinge.example/goldcresthinge/internal/usage"
)

// UsageLimiter bounds the requests of each team over all VMs. It must be safe for concurrent use.
type UsageLimiter interface {
	// Admit decides on a request that has arrived.
	Admit(t *team.Team, now time.Time) usage.Decision
	// Return gives back the room of an admitted request that no server has run.
	Return(d usage.Decision, now time.Time)
}

// admit refuses the request if it exceeds the usage limit of its team.
func (q *request) admit() (status int, reason string) {
	if q.team == nil {
		return 0, ""
	}
	q.usage = q.h.cfg.UsageLimiter.Admit(q.team, q.arrived)
	if !q.usage.Admitted {
		return http.StatusTooManyRequests, string(q.usage.Reason)
	}
	return 0, ""
}

// returnUsage gives back the room of a request that has ended and that no server has run.
func (q *request) returnUsage() {
	if q.usage.Admitted && !q.mayHaveRun {
		q.h.cfg.UsageLimiter.Return(q.usage, time.Now())
	}
}

// usageFields returns the log fields that explain a refusal for the usage limit.
func (q *request) usageFields() []any {
	u := q.usage
	if u.Reason == "" {
		return nil
	}
	return []any{
		"limit_in_window", u.Limit, "used_in_window", u.Used, "limit_per_s", q.team.RatePerSecond,
		"counts_age_ms", u.Age.Milliseconds(), "vms_in_contact", u.Group.Alive, "vms", u.Group.Registered,
		"retry_after_ms", u.RetryAfter.Milliseconds(),
	}
}
