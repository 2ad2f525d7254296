package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/operatorapi"
)

// waitInterval is the pause between two looks at the VMs.
const waitInterval = 500 * time.Millisecond

func (t *Tool) read(file string) ([]byte, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(t.Stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return data, nil
}

// parse reads and checks a document without a VM.
func (t *Tool) parse(file string) ([]byte, []inventory.Fault, error) {
	data, err := t.read(file)
	if err != nil {
		return nil, nil, err
	}
	_, warnings, err := inventory.Check(data)
	var faults *inventory.FaultsError
	if errors.As(err, &faults) {
		return nil, nil, &responseError{address: file, problem: operatorapi.Problem{
			Status: http.StatusUnprocessableEntity, Title: "rejected",
			Detail: fmt.Sprintf("the document has %d fault(s); nothing changed", len(faults.Faults)), Faults: faults.Faults,
		}}
	}
	return data, warnings, err
}

func (t *Tool) check(file string) int {
	_, warnings, err := t.parse(file)
	if err != nil {
		return t.fail(err)
	}
	if t.args.JSON {
		t.writeJSON(operatorapi.Checked{Warnings: warnings})
		return ExitDone
	}
	t.warn(warnings)
	t.printf("%s is valid\n", file)
	return ExitDone
}

func (t *Tool) warn(warnings []inventory.Fault) {
	for _, w := range warnings {
		t.printf("warning: %s\n", w)
	}
}

func (t *Tool) get(ctx context.Context) int {
	var doc operatorapi.Document
	if err := t.call(ctx, request{method: http.MethodGet, path: "/v1/config"}, &doc); err != nil {
		return t.fail(err)
	}
	if t.args.JSON {
		t.writeJSON(doc)
		return ExitDone
	}
	t.printf("# version %d\n%s", doc.Version, doc.Document)
	return ExitDone
}

func (t *Tool) diff(ctx context.Context, file string) int {
	data, _, err := t.parse(file)
	if err != nil {
		return t.fail(err)
	}
	var checked operatorapi.Checked
	if err := t.call(ctx, request{method: http.MethodPost, path: "/v1/config/check", body: data}, &checked); err != nil {
		return t.fail(err)
	}
	if t.args.JSON {
		t.writeJSON(checked)
		return ExitDone
	}
	t.warn(checked.Warnings)
	t.printf("%d change(s) to version %d\n", len(checked.Changes), checked.Base)
	for _, c := range checked.Changes {
		t.printf("%s\n", c)
	}
	return ExitDone
}

func (t *Tool) apply(ctx context.Context, a *applyArgs) int {
	// The current version as default would let an edit of an old document undo
	// a newer change.
	if a.Base == nil {
		return t.fail(&usageError{"apply needs --base with the version that the document is based on; diff shows it"})
	}
	data, _, err := t.parse(a.File)
	if err != nil {
		return t.fail(err)
	}
	var applied operatorapi.Applied
	path := fmt.Sprintf("/v1/config?base=%d", *a.Base)
	if err := t.call(ctx, request{method: http.MethodPut, path: path, body: data, once: true}, &applied); err != nil {
		return t.fail(err)
	}
	return t.applied(ctx, applied, a.Wait)
}

func (t *Tool) setOut(ctx context.Context, a *domainArgs, verb string) int {
	var applied operatorapi.Applied
	path := "/v1/failure-domains/" + url.PathEscape(a.Name) + "/" + verb
	if err := t.call(ctx, request{method: http.MethodPost, path: path}, &applied); err != nil {
		return t.fail(err)
	}
	return t.applied(ctx, applied, a.Wait)
}

// applied waits for the version, if asked to, and reports it per VM.
func (t *Tool) applied(ctx context.Context, a operatorapi.Applied, wait time.Duration) int {
	deadline := t.Clock.Now().Add(wait)
	for !inForce(a.VMs) && t.Clock.Now().Before(deadline) && ctx.Err() == nil {
		timer := t.Clock.NewTimer(min(waitInterval, t.Clock.Until(deadline)), "ctl", "wait")
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		var status operatorapi.Status
		path := fmt.Sprintf("/v1/status?version=%d", a.Version)
		if err := t.call(ctx, request{method: http.MethodGet, path: path}, &status); err == nil {
			a.VMs = status.VMs
		}
	}
	if t.args.JSON {
		t.writeJSON(a)
	} else {
		t.warn(a.Warnings)
		if a.Changed {
			t.printf("version %d is accepted\n", a.Version)
		} else {
			t.printf("nothing to change, version %d\n", a.Version)
		}
		t.vmTable(a.VMs)
	}
	if !inForce(a.VMs) {
		_, _ = fmt.Fprintf(t.Stderr, "version %d is accepted, but not yet in force at all VMs\n", a.Version)
		return ExitPending
	}
	return ExitDone
}

// inForce reports whether all VMs have the version. A VM that is leaving and
// does not respond has gone.
func inForce(vms []operatorapi.VM) bool {
	for _, v := range vms {
		if v.State != "in-force" && (!v.Leaving || v.State != "not-heard") {
			return false
		}
	}
	return true
}
