package gossip

import (
	"context"
	"net"
	"testing"
	"time"

	"zincloft.example/zincloft/peersampling"
)

// freeUDPAddress returns a loopback address that is currently free.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}()
	return conn.LocalAddr().String()
}

// TestShufflersDiscoverEachOther checks that a gateway and its seed, which initially does not know the gateway, discover each other.
func TestShufflersDiscoverEachOther(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	memberAddr, gatewayAddr := freeUDPAddress(t), freeUDPAddress(t)
	member, err := Start(ctx, peersampling.Descriptor{Addr: memberAddr, Role: peersampling.RoleControlPlane, Zone: "a"}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	gateway, err := Start(ctx, peersampling.Descriptor{Addr: gatewayAddr, Role: peersampling.RoleGateway, Zone: "b"}, []string{memberAddr}, nil)
	if err != nil {
		t.Fatal(err)
	}
	knows := func(s *Shuffler, role peersampling.Role, addr string) bool {
		peers := s.Peers(role)
		return len(peers) == 1 && peers[0].Addr == addr
	}
	deadline := time.Now().Add(10 * time.Second)
	for !knows(member, peersampling.RoleGateway, gatewayAddr) || !knows(gateway, peersampling.RoleControlPlane, memberAddr) {
		if time.Now().After(deadline) {
			t.Fatalf("no mutual discovery within 10 s: the member knows %+v, the gateway %+v", member.Peers(peersampling.RoleGateway), gateway.Peers(peersampling.RoleControlPlane))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestStartFailsForAddressInUse(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	self := peersampling.Descriptor{Addr: freeUDPAddress(t), Role: peersampling.RoleGateway}
	if _, err := Start(ctx, self, nil, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := Start(ctx, self, nil, nil); err == nil {
		t.Error("Start succeeded for an address in use")
	}
}
