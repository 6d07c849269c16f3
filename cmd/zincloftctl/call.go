package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"zincloft.example/zincloft/internal/daemons/controlclient"
)

// Time limits of a call, retries included. Configuration calls get the longer one: a configuration carries a version, so a late
// retry is safe.
const (
	configurationTimeout = 30 * time.Second
	callTimeout          = 5 * time.Second
)

func callTimeoutFor(call string) time.Duration {
	if strings.HasPrefix(call, "configuration.") {
		return configurationTimeout
	}
	return callTimeout
}

// callMembers sends a call to the members at comma-separated addresses and returns the response body.
func callMembers(ctx context.Context, addresses, call, target string, body []byte) ([]byte, error) {
	client, err := controlclient.New(addresses)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeoutFor(call))
	defer cancel()
	return client.Call(ctx, call, target, body)
}

// printCall sends a call and prints the response body.
func printCall(out io.Writer, addresses, call, target string, body []byte) error {
	response, err := callMembers(context.Background(), addresses, call, target, body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", response)
	return err
}
