package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"goldcresthinge.example/goldcresthinge/internal/daemon"
	"goldcresthinge.example/goldcresthinge/internal/loadtest"
	"goldcresthinge.example/goldcresthinge/internal/operatorapi"
	platformstandin "goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/settings"
)

// logFileVariable is the environment variable with the name of the file that the
// entry VMs log to. Without it their logs are discarded, since they would mix with
// the table that the run prints.
const logFileVariable = "GOLDCRESTHINGE_LOAD_LOG"

// entryVM adapts a daemon to loadtest.EntryVM.
type entryVM struct {
	*daemon.Daemon
}

// Address implements loadtest.EntryVM.
func (v entryVM) Address() string { return v.CallerAddress() }

// newFactory returns functions that start a platform stand-in and entry VMs in this
// process and operate them over the operator API.
func newFactory() loadtest.Factory {
	logs := io.Discard
	if name := os.Getenv(logFileVariable); name != "" {
		if f, err := os.Create(name); err == nil {
			logs = f
		}
	}
	return loadtest.Factory{
		// The last argument of Listen is the seed that determines to which requests
		// injected faults apply.
		StartPlatform: func(ctx context.Context, address string) (loadtest.Platform, error) {
			return platformstandin.Listen(ctx, address, 1)
		},
		StartEntryVM: func(ctx context.Context, spec loadtest.EntryVMSpec) (loadtest.EntryVM, error) {
			return startEntryVM(ctx, spec, logs)
		},
		ApplyConfig:   applyConfig,
		Ready:         ready,
		ConfigVersion: configVersion,
	}
}

func startEntryVM(ctx context.Context, spec loadtest.EntryVMSpec, logs io.Writer) (loadtest.EntryVM, error) {
	s, err := settings.Parse([]string{
		"--id", spec.ID, "--region", spec.Region, "--failure-domain", spec.FailureDomain,
		"--caller-listen", spec.CallerAddress, "--sibling-listen", spec.SiblingAddress,
		"--operator-listen", spec.OperatorAddress, "--platform", "http://" + spec.PlatformAddress,
	}, io.Discard)
	if err != nil {
		return nil, err
	}
	opts := []daemon.Option{daemon.WithLog(logs)}
	if spec.Dial != nil {
		opts = append(opts, daemon.WithDialer(spec.Dial))
	}
	d, err := daemon.Start(ctx, s, opts...)
	if err != nil {
		return nil, err
	}
	return entryVM{d}, nil
}

// applyConfig makes document the version after the current one, with requests to the
// VM of spec.
func applyConfig(ctx context.Context, spec loadtest.EntryVMSpec, document []byte) error {
	base := "http://" + spec.OperatorAddress
	var current operatorapi.Document
	status, err := request(ctx, http.MethodGet, base+"/v1/config", nil, &current)
	if err != nil && status != http.StatusNotFound {
		return err
	}
	_, err = request(ctx, http.MethodPut, fmt.Sprintf("%s/v1/config?base=%d", base, current.Version), document, nil)
	return err
}

// ready reports whether the readiness check of the VM succeeds.
func ready(ctx context.Context, spec loadtest.EntryVMSpec) bool {
	_, err := request(ctx, http.MethodGet, "http://"+spec.OperatorAddress+"/v1/readyz", nil, nil)
	return err == nil
}

// configVersion returns the version in force at the VM, 0 if it has none or does not
// respond.
func configVersion(ctx context.Context, spec loadtest.EntryVMSpec) uint64 {
	var current operatorapi.Document
	if _, err := request(ctx, http.MethodGet, "http://"+spec.OperatorAddress+"/v1/config", nil, &current); err != nil {
		return 0
	}
	return current.Version
}

// request sends an HTTP request and decodes the JSON response into result, unless
// that is nil. It returns the HTTP status, 0 without a response, and an error with
// the body of the response for a status of 400 or more.
func request(ctx context.Context, method, url string, body []byte, result any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/yaml")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return resp.StatusCode, fmt.Errorf("%s %s: %s: %s", method, url, resp.Status, answer)
	}
	if result == nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.Unmarshal(answer, result)
}
