package main

import (
	"context"

	platformstandin "goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/standin"
)

// startPlatform starts a stand-in for the platform that listens on address.
func startPlatform(ctx context.Context, address string) (standin.Platform, error) {
	return platformstandin.Listen(ctx, address, 1)
}
