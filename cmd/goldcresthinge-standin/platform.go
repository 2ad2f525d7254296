package main

import (
	"context"

	platformstandin "goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/standin"
)

// startPlatform starts a stand-in for the platform that listens on address, with seed 1
// for its random numbers.
func startPlatform(ctx context.Context, address string) (standin.PlatformStandin, error) {
	return platformstandin.Listen(ctx, address, 1)
}
