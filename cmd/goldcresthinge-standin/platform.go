package main

import (
	"context"

	platformstandin "goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/standin"
)

func startPlatform(ctx context.Context, address string) (standin.Platform, error) {
	return platformstandin.Listen(ctx, address, 1)
}
