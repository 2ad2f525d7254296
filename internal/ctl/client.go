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

// responseError is an error response of a VM.
type responseError struct {
	address string
	problem operatorapi.Problem
}

// Error implements the error interface.
func (e *responseError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.address, e.problem.Title, e.problem.Detail)
}

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
	// once is set if the request must not be sent to a second VM after the
	// first one may have seen it.
	once bool
}

// call sends a request to the addresses in turn until one responds, and
// decodes the response into result. Only a VM that cannot be reached, or that
// cannot reach the store, leads to the next address.
func (t *Tool) call(ctx context.Context, r request, result any) error {
	var errs []error
	for _, address := range t.addresses {
		err := t.send(ctx, address, r, result)
		var response *responseError
		if err == nil || (errors.As(err, &response) && response.problem.Status < 500) {
			return err
		}
		if r.once && !notSent(err) {
			return err
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// notSent reports whether the request has certainly not changed anything.
func notSent(err error) bool {
	var response *responseError
	if errors.As(err, &response) {
		return !response.problem.Uncertain
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

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
		if r.once && !notSent(err) {
			return fmt.Errorf("no answer, the change may be accepted: %w", err)
		}
		return fmt.Errorf("not reachable: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%s: answer is not complete: %w", address, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		e := &responseError{address: address}
		if err := json.Unmarshal(body, &e.problem); err != nil || e.problem.Status == 0 {
			e.problem = operatorapi.Problem{Title: resp.Status}
		}
		e.problem.Status = resp.StatusCode
		return e
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	return nil
}

// fromAll sends a request to all addresses and joins the lists. It fails only
// if no VM responds; VMs that do not are named on standard error.
func fromAll[T any](ctx context.Context, t *Tool, path string) ([]T, error) {
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
