package load

import (
	"context"
	"net"
)

func dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// closeQuietly closes a connection that is no longer needed. An error would say no more than that it was broken.
func closeQuietly(conn net.Conn) { _ = conn.Close() }
