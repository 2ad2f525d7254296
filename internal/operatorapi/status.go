package operatorapi

import (
	"context"
	"net/http"
	"strings"

	"github.com/danielgtaylor/huma/v2"
)

// statusInput is the request of a status. Version is the configuration version that
// the versions of the VMs are compared with.
type statusInput struct {
	Version uint64 `query:"version" doc:"version to report on, default: the one in force at this VM"`
}

// Draining is the response to a drain.
type Draining struct {
	ID       string `json:"id"`
	Draining bool   `json:"draining"`
}

func (a *api) registerStatus(h huma.API) {
	huma.Register(h, operation(http.MethodGet, "/v1/status", "status", "Status of this VM and of the configuration everywhere"), a.status)
	huma.Register(h, operation(http.MethodGet, "/v1/targets", "targets", "Targets of the pools that this VM holds"),
		func(context.Context, *struct{}) (*output[[]Target], error) {
			return &output[[]Target]{Body: nonNil(a.Process.Targets(a.Now()))}, nil
		})
	huma.Register(h, operation(http.MethodGet, "/v1/holders", "holders", "Holders of the pools of the region"),
		func(context.Context, *struct{}) (*output[[]Holder], error) {
			return &output[[]Holder]{Body: nonNil(a.Process.Holders(a.Now()))}, nil
		})
	huma.Register(h, operation(http.MethodGet, "/v1/state", "state", "Dump of the whole state of this VM"),
		func(context.Context, *struct{}) (*output[any], error) {
			return &output[any]{Body: a.Process.Dump(a.Now())}, nil
		})
	drain := operation(http.MethodPost, "/v1/drain", "drain", "Start a graceful shutdown of this VM")
	drain.DefaultStatus = http.StatusAccepted
	huma.Register(h, drain, func(context.Context, *struct{}) (*output[Draining], error) {
		a.log("msg", "drain requested by an operator")
		a.Process.Drain()
		return &output[Draining]{Body: Draining{ID: a.Process.Status(a.Now()).ID, Draining: true}}, nil
	})
	huma.Register(h, operation(http.MethodGet, "/v1/healthz", "healthz", "The process runs"),
		func(context.Context, *struct{}) (*output[map[string]bool], error) {
			return &output[map[string]bool]{Body: map[string]bool{"healthy": true}}, nil
		})
	huma.Register(h, operation(http.MethodGet, "/v1/readyz", "readyz", "This VM may get calls"), a.readyz)
}

// nonNil returns an empty list for nil, which JSON encodes as [] and not as null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// status returns the status of this VM and the state of a configuration version
// at all VMs.
func (a *api) status(ctx context.Context, in *statusInput) (*output[Status], error) {
	s := Status{ProcessStatus: a.Process.Status(a.Now()), OutOfService: []string{}}
	if snap := a.Configuration.Current(); snap != nil {
		s.Version = snap.Version
		s.OutOfService = append(s.OutOfService, snap.Document.Rules.OutOfService...)
	}
	age, ok := a.Configuration.ConfirmedAge(a.Now())
	s.Confirmed, s.AgeMs = ok, age.Milliseconds()
	version := in.Version
	if version == 0 {
		version = s.Version
	}
	s.VMs = nonNil(a.vmReports(ctx, version))
	return &output[Status]{Body: s}, nil
}

// readyz responds with 503 and the reasons while this VM must get no calls.
func (a *api) readyz(context.Context, *struct{}) (*output[map[string]bool], error) {
	s := a.Process.Status(a.Now())
	if !s.Ready {
		return nil, &Problem{Status: http.StatusServiceUnavailable, Title: "not ready", Detail: strings.Join(s.NotReady, "; ")}
	}
	return &output[map[string]bool]{Body: map[string]bool{"ready": true}}, nil
}
