package operatorapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/rollout"
)

// maxConflicts is the number of attempts to take a failure domain out of service or
// return it when each fails because another change was accepted first.
const maxConflicts = 5

// documentInput is the request of a check.
type documentInput struct {
	RawBody []byte `contentType:"application/yaml"`
}

// putInput is the request of a put.
type putInput struct {
	Base    uint64 `query:"base" required:"true" doc:"version that the document is based on, 0 for the first one"`
	RawBody []byte `contentType:"application/yaml"`
}

// domainInput names the failure domain of a request.
type domainInput struct {
	Name string `path:"name" doc:"failure domain"`
}

func (a *api) registerConfiguration(h huma.API) {
	huma.Register(h, operation(http.MethodGet, "/v1/config", "get-config", "Configuration in force at this VM"), a.get)
	huma.Register(h, operation(http.MethodPut, "/v1/config", "put-config", "Make a document the next version"), a.put)
	huma.Register(h, operation(http.MethodPost, "/v1/config/check", "check-config", "Check a document and show what it would change"), a.check)
	huma.Register(h, operation(http.MethodPost, "/v1/failure-domains/{name}/out", "take-out", "Take a failure domain out of service"),
		func(ctx context.Context, in *domainInput) (*output[Applied], error) {
			return a.setOutOfService(ctx, in.Name, true)
		})
	huma.Register(h, operation(http.MethodPost, "/v1/failure-domains/{name}/return", "return", "Return a failure domain to service"),
		func(ctx context.Context, in *domainInput) (*output[Applied], error) {
			return a.setOutOfService(ctx, in.Name, false)
		})
}

// get returns the configuration in force at this VM, without the comments of the
// document.
func (a *api) get(context.Context, *struct{}) (*output[Document], error) {
	snap := a.Configuration.Current()
	if snap == nil {
		return nil, &Problem{Status: http.StatusNotFound, Title: "no configuration", Detail: "no version is in force at this VM"}
	}
	text, err := inventory.Encode(snap.Document)
	if err != nil {
		return nil, err
	}
	block, err := inventory.Format(snap.Document)
	if err != nil {
		return nil, err
	}
	return &output[Document]{Body: Document{Version: snap.Version, Digest: inventory.Digest(text), Document: string(block)}}, nil
}

// check checks a document and returns its difference from the configuration in
// force at this VM.
func (a *api) check(_ context.Context, in *documentInput) (*output[Checked], error) {
	doc, warnings, err := inventory.Check(in.RawBody)
	if err != nil {
		return nil, toProblem(err)
	}
	checked := Checked{Warnings: warnings}
	var current *inventory.Document
	if snap := a.Configuration.Current(); snap != nil {
		checked.Base, current = snap.Version, snap.Document
	}
	checked.Changes = inventory.Diff(current, doc)
	return &output[Checked]{Body: checked}, nil
}

// put makes a document the version after in.Base. It fails with a conflict if that
// is not the current version.
func (a *api) put(ctx context.Context, in *putInput) (*output[Applied], error) {
	_, warnings, err := inventory.Check(in.RawBody)
	if err != nil {
		return nil, toProblem(err)
	}
	applied, err := a.apply(ctx, in.Base, in.RawBody)
	if err != nil {
		return nil, toProblem(err)
	}
	applied.Warnings = warnings
	return &output[Applied]{Body: *applied}, nil
}

// apply makes document the version after base and returns the version of each VM.
// Errors are those of Configuration.Apply.
func (a *api) apply(ctx context.Context, base uint64, document []byte) (*Applied, error) {
	applyCtx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	version, err := a.Configuration.Apply(applyCtx, base, document)
	if err != nil {
		a.log("msg", "configuration change not accepted", "base", base, "err", err)
		return nil, err
	}
	return &Applied{Version: version, Changed: version != base, VMs: a.vmReports(ctx, version)}, nil
}

// setOutOfService takes a failure domain out of service or returns it, in the newest
// version. Unlike put it retries after a conflict, since the change does not depend
// on the rest of the document.
func (a *api) setOutOfService(ctx context.Context, name string, out bool) (*output[Applied], error) {
	var err error
	for range maxConflicts {
		snap := a.Configuration.Current()
		if snap == nil {
			return nil, &Problem{Status: http.StatusServiceUnavailable, Title: "no configuration", Detail: "no version is in force at this VM"}
		}
		if snap.RegionOf(name) == "" {
			return nil, &Problem{Status: http.StatusNotFound, Title: "not found", Detail: fmt.Sprintf("failure domain %q is not defined in version %d", name, snap.Version)}
		}
		doc, _ := snap.Document.WithOutOfService(name, out)
		var text []byte
		if text, err = inventory.Encode(doc); err != nil {
			return nil, err
		}
		// A document that this does not change is applied as well: if this VM
		// does not have the newest version yet, that shows as a conflict.
		var applied *Applied
		if applied, err = a.apply(ctx, snap.Version, text); err == nil {
			applied.Warnings = inventory.Warnings(doc)
			return &output[Applied]{Body: *applied}, nil
		}
		var conflict *rollout.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		if refreshErr := a.Configuration.Refresh(ctx); refreshErr != nil {
			err = fmt.Errorf("%w: %w", rollout.ErrStoreUnavailable, refreshErr)
			break
		}
	}
	return nil, toProblem(err)
}

// vmReports asks all VMs which version they have, in relation to version.
func (a *api) vmReports(ctx context.Context, version uint64) []VM {
	return lo.Map(a.Configuration.QueryVMs(ctx, version), func(r rollout.VMReport, _ int) VM {
		return VM{
			ID: string(r.VM.ID), Region: r.VM.Region, FailureDomain: r.VM.FailureDomain, Address: r.VM.SiblingAddress,
			State: string(r.State), Version: r.Version, Confirmed: r.Confirmed, AgeMs: r.ConfirmedAge.Milliseconds(), Leaving: r.Leaving,
		}
	})
}

// toProblem returns the response for an error of a change. Errors that are not
// expected of a change are returned as they are.
func toProblem(err error) error {
	var faults *inventory.FaultsError
	var conflict *rollout.ConflictError
	switch {
	case errors.As(err, &faults):
		return &Problem{
			Status: http.StatusUnprocessableEntity, Title: "rejected",
			Detail: fmt.Sprintf("the document has %d fault(s); nothing changed", len(faults.Faults)), Faults: faults.Faults,
		}
	case errors.As(err, &conflict):
		return &Problem{Status: http.StatusConflict, Title: "conflict", Detail: conflict.Error(), CurrentVersion: conflict.Current}
	case errors.Is(err, rollout.ErrOutcomeUnknown):
		return &Problem{Status: http.StatusGatewayTimeout, Title: "uncertain", Detail: err.Error(), Uncertain: true}
	case errors.Is(err, rollout.ErrStoreUnavailable):
		return &Problem{Status: http.StatusServiceUnavailable, Title: "store unavailable", Detail: err.Error()}
	default:
		return err
	}
}
