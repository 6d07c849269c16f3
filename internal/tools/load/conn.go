package load

import (
	"context"
	"net"
)

func dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// closeQuietly closes a connection and ignores the error, as the connection is no longer needed.
func closeQuietly(conn net.Conn) { _ = conn.Close() }
