package main

import (
	"context"
	"errors"

	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/configcheck"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/platform"
)

// entryFormat implements ctl.EntryFormat for the users' platform.
type entryFormat struct{}

func (entryFormat) Decode(data []byte) (*routing.Configuration, error) {
	return platform.DecodeConfiguration(data)
}

func (entryFormat) Check(data []byte) ([]configcheck.Finding, error) {
	faults, err := platform.CheckFormat(data)
	return lo.Map(faults, func(f platform.FormatFault, _ int) configcheck.Finding {
		return configcheck.Finding{Kind: configcheck.Error, Record: f.Record, Field: f.Field, Value: f.Value, Reason: "allowed: " + f.Allowed}
	}), err
}

func (entryFormat) InForce(ctx context.Context, address string) ([]byte, error) {
	c, err := platform.NewStore(func() string { return address }).Read(ctx, platform.TableOperator)
	if err != nil {
		return nil, err
	}
	row, ok := lo.Find(c.Rows, func(r replica.Row) bool { return r.Key == platform.KeyConfiguration })
	if !ok {
		return nil, errors.New("the store has no configuration")
	}
	return row.Value, nil
}
