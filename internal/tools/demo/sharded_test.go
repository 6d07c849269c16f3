package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/testbeds/standin/shardreplica"
)

const (
	shardReplicas    = 3
	shardKeys        = 16 // requested by a test, spread over all keys
	shardKeyStep     = 65536 / shardKeys
	firstGrantsLimit = 10 * time.Second        // from the first configuration to the first served request of each key
	configDeadline   = 2500 * time.Millisecond // from the acknowledgement of a configuration to its effect
)

// shardedConfiguration is a configuration in which paths under /plain lead to service "hello", and those under /sharded to the sharded service
// "shards". Each prefix is the path of a route.
func shardedConfiguration(version int, prefixes ...string) string {
	var routes []string
	for _, prefix := range prefixes {
		service := "hello"
		if strings.HasPrefix(prefix, "/sharded") {
			service = "shards"
		}
		routes = append(routes, fmt.Sprintf(`{"name":%q,"path_prefix":%q,"kind":"safe","timeout":"5s","target_latency":"500ms","max_attempts":2,"service":%q}`,
			"r"+strings.ReplaceAll(prefix, "/", "-"), prefix, service))
	}
	return fmt.Sprintf(`{"version":"%08x","services":[{"name":"hello","health_check_path":"/health","max_connections":100},
{"name":"shards","health_check_path":"/health","max_connections":100,"sharded":true,"warm_up":"1s"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"virtual_hosts":[{"hostname":"127.0.0.1","path_routes":[%s]}]}`, version, strings.Join(routes, ","))
}

// shardedCluster is a cluster with replicas of a sharded service and one replica of another service.
type shardedCluster struct {
	*Cluster
	record   *shardreplica.Record
	shards   []*shardreplica.Replica
	requests int
}

// startShardedCluster starts a cluster with a first configuration, and returns once both gateways serve requests to the service that is not sharded.
func startShardedCluster(t *testing.T, options shardreplica.Options) *shardedCluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &shardedCluster{Cluster: &Cluster{cancel: cancel, results: make(chan error, 1+gatewayCount)}, record: shardreplica.NewRecord()}
	t.Cleanup(func() {
		if err := c.Stop(); err != nil {
			t.Error(err)
		}
		for _, replica := range c.shards {
			replica.Close()
		}
	})
	if err := c.startDaemons(ctx, t.TempDir(), io.Discard); err != nil {
		t.Fatal(err)
	}
	if err := c.startReplicas(ctx, 1, FaultInjection{}); err != nil {
		t.Fatal(err)
	}
	options.Service, options.Zone = "shards", "here"
	for i := range shardReplicas {
		replica, err := shardreplica.Start(fmt.Sprintf("i-shard-%d", i+1), c.record, options)
		if err != nil {
			t.Fatal(err)
		}
		c.shards = append(c.shards, replica)
		go replica.SendHeartbeats(ctx, c.ControlAddress, heartbeatInterval)
	}
	if err := c.replaceConfiguration(ctx, shardedConfiguration(1, "/plain/", "/sharded/")); err != nil {
		t.Fatal(err)
	}
	if unserved := c.waitUntilServed(t, "/plain/", startTimeout); unserved > 0 {
		t.Fatalf("%d of %d requests to the service that is not sharded were not served", unserved, shardKeys*gatewayCount)
	}
	return c
}

// waitUntilServed sends one request for each key to each gateway, repeats those that fail until a time limit, and returns how many were not served.
func (c *shardedCluster) waitUntilServed(t *testing.T, prefix string, limit time.Duration) (unserved int) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for _, front := range c.FrontAddresses {
		for key := shardKeyStep / 2; key <= 65535; key += shardKeyStep {
			for !c.served(t, front, prefix, key) {
				if time.Now().After(deadline) {
					unserved++
					break
				}
				time.Sleep(pollInterval)
			}
		}
	}
	return unserved
}

// served sends a request and reports whether a replica executed it and its complete response arrived.
func (c *shardedCluster) served(t *testing.T, front, prefix string, key int) bool {
	t.Helper()
	c.requests++
	request := newRequest(t, http.MethodGet, front, prefix+"x", fmt.Sprintf("shard-%d", c.requests), nil)
	request.Header.Set("X-Shard-Key", fmt.Sprint(key))
	request.Header.Set("X-Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK && response.Header.Get("X-Response-Seal") != ""
}

// rejections counts the rejections of all replicas of the sharded service.
func (c *shardedCluster) rejections(reason shardreplica.Rejection) (count int) {
	for _, replica := range c.shards {
		count += replica.Rejections(reason)
	}
	return count
}

// TestRouteAddedToShardedServiceIsServed guards against a sharded service that nobody grants keys to, and thus serves no route, old or added.
func TestRouteAddedToShardedServiceIsServed(t *testing.T) {
	c := startShardedCluster(t, shardreplica.Options{})
	check := func(prefix string, limit time.Duration) {
		if unserved := c.waitUntilServed(t, prefix, limit); unserved > 0 {
			t.Errorf("%s: %d of %d requests were not served within %v; %d grants and releases, %d requests rejected for their key", prefix, unserved,
				shardKeys*gatewayCount, limit, len(c.record.Calls()), c.rejections(shardreplica.RejectedKeyNotHeld))
		}
	}
	check("/sharded/", firstGrantsLimit)
	if err := c.replaceConfiguration(t.Context(), shardedConfiguration(2, "/plain/", "/sharded/", "/plain-added/", "/sharded-added/")); err != nil {
		t.Fatal(err)
	}
	check("/sharded-added/", configDeadline)
	check("/plain-added/", configDeadline)
	for _, overlap := range c.record.Overlaps() {
		t.Error(overlap)
	}
}
