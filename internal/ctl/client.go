package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"goldcresthinge.example/goldcresthinge/internal/operatorapi"
)

// responseError is an error response of a VM, or the faults that the tool found in a
// document.
type responseError struct {
	source  string // address of the VM, or name of the file with the document
	problem operatorapi.Problem
}

// Error implements the error interface.
func (e *responseError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.source, e.problem.Title, e.problem.Detail)
}

// exitCode returns the exit code of the tool for the HTTP status.
func (e *responseError) exitCode() int {
	switch e.problem.Status {
	case http.StatusConflict:
		return ExitConflict
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return ExitRejected
	default:
		return ExitUnreachable
	}
}

// request is one request of the operator API.
type request struct {
	method, path string
	body         []byte
	// nonIdempotent is set if the request must not be sent to another VM after a
	// VM may have received it.
	nonIdempotent bool
}

// call sends a request to the addresses one after another until a VM responds with a
// status below 500, and decodes the response into result. It tries the next address
// if the request fails or the VM responds with a status of 500 or more, for example
// because it cannot reach the store. A non-idempotent request is tried again only if
// it is known not to have been applied. The error is that of the request after which
// no further address may be tried, or joins those of all addresses.
func (t *Tool) call(ctx context.Context, r request, result any) error {
	var errs []error
	for _, address := range t.addresses {
		err := t.send(ctx, address, r, result)
		var response *responseError
		if err == nil || (errors.As(err, &response) && response.problem.Status < 500) {
			return err
		}
		if r.nonIdempotent && !knownNotApplied(err) {
			return err
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// knownNotApplied reports whether err shows that the request changed nothing: the
// VM said so, or could not be dialed.
func knownNotApplied(err error) bool {
	var response *responseError
	if errors.As(err, &response) {
		return !response.problem.Uncertain
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// send sends a request to one VM, within the time of --timeout. The error is a
// *responseError if the VM responded with a status of 400 or more.
func (t *Tool) send(ctx context.Context, address string, r request, result any) error {
	ctx, cancel := context.WithTimeout(ctx, t.args.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return err
	}
	if r.body != nil {
		req.Header.Set("Content-Type", "application/yaml")
	}
	resp, err := t.HTTP.Do(req)
	if err != nil {
		if r.nonIdempotent && !knownNotApplied(err) {
			return fmt.Errorf("no answer, the change may have been accepted: %w", err)
		}
		return fmt.Errorf("request to the VM failed: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%s: response truncated: %w", address, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		e := &responseError{source: address}
		if err := json.Unmarshal(body, &e.problem); err != nil || e.problem.Status == 0 {
			e.problem = operatorapi.Problem{Title: resp.Status}
		}
		e.problem.Status = resp.StatusCode
		return e
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fmt.Errorf("%s: decode response: %w", address, err)
	}
	return nil
}

// listFromAll sends a request to all addresses and concatenates the lists. It fails
// only if the requests to all VMs fail; otherwise it writes the errors to standard
// error.
func listFromAll[T any](ctx context.Context, t *Tool, path string) ([]T, error) {
	all := []T{}
	var errs []error
	for _, address := range t.addresses {
		var list []T
		if err := t.send(ctx, address, request{method: http.MethodGet, path: path}, &list); err != nil {
			errs = append(errs, err)
			continue
		}
		all = append(all, list...)
	}
	if len(errs) == len(t.addresses) {
		return nil, errors.Join(errs...)
	}
	for _, err := range errs {
		_, _ = fmt.Fprintln(t.Stderr, err)
	}
	return all, nil
}
