package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"zincloft.example/zincloft/internal/daemons/controlclient"
)

// How long a call is repeated without a clear answer: a configuration has a version and may come late, anything else may not.
const (
	configurationTimeout = 30 * time.Second
	callTimeout          = 5 * time.Second
)

func timeoutOf(call string) time.Duration {
	if strings.HasPrefix(call, "configuration.") {
		return configurationTimeout
	}
	return callTimeout
}

// callMembers sends a call to the members at some addresses, separated by commas, and returns the answer.
func callMembers(ctx context.Context, addresses, call, target string, body []byte) ([]byte, error) {
	client, err := controlclient.New(addresses)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(call))
	defer cancel()
	return client.Call(ctx, call, target, body)
}

// printCall sends a call and prints the answer.
func printCall(out io.Writer, addresses, call, target string, body []byte) error {
	answer, err := callMembers(context.Background(), addresses, call, target, body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", answer)
	return err
}
