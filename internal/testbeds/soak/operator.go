package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"
)

const (
	operatorCount        = 2
	finalReadOperator    = operatorCount          // recorded for the reads at the end of a run
	operatorPause        = 250 * time.Millisecond // mean pause between two calls of an operator
	callTimeout          = time.Second
	probeRoutes          = 40 // a configuration routes the probe paths of this many newest versions
	readShare            = 0.4
	evacuationShare      = 0.08
	evacuatedZone        = "c"
	maxOperationAttempts = 6
)

const (
	configurationTemplate = `{"version":"%08x","services":[{"name":"reads","health_check_path":"/health","max_connections":100},{"name":"orders","health_check_path":"/health","max_connections":100},` +
		`{"name":"shards","health_check_path":"/health","max_connections":100,"sharded":true,"warm_up":"1000ms"}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},"virtual_hosts":[{"hostname":"shop.example","path_routes":[%s]}]}`
	routeTemplate = `{"name":%q,"path_prefix":%q,"kind":%q,"timeout":"3000ms","target_latency":"600ms","max_attempts":2,"service":%q}`
)

// configuration returns the configuration of a version: routes for reads and orders, and a probe route for each of the last
// probeRoutes versions.
func configuration(version uint64) []byte {
	routes := []string{
		fmt.Sprintf(routeTemplate, "reads", safePath, "safe", "reads"),
		fmt.Sprintf(routeTemplate, "orders", unsafePath, "unsafe", "orders"),
		fmt.Sprintf(routeTemplate, "shard-reads", shardSafePath, "safe", shardedService),
		fmt.Sprintf(routeTemplate, "shard-orders", shardUnsafePath, "unsafe", shardedService),
	}
	for v := version; v > 0 && v+probeRoutes > version; v-- {
		name := fmt.Sprintf("%s%08x/", probePath, v)
		routes = append(routes, fmt.Sprintf(routeTemplate, name, name, "safe", "reads"))
	}
	return fmt.Appendf(nil, configurationTemplate, version, strings.Join(routes, ","))
}

// operators write configurations with increasing versions, occasionally evacuate a zone, and read the configuration from random
// members.
type operators struct {
	cluster *cluster

	mu           sync.Mutex
	version      uint64                // last one returned by nextVersion
	acknowledged []acknowledgedVersion // in ascending order
	ackCallbacks []func(member string)
}

// acknowledgedVersion is a configuration version and when it became the highest acknowledged one.
type acknowledgedVersion struct {
	version uint64
	at      time.Duration
}

// newestAcknowledged returns the highest version acknowledged by a time, or 0 if there is none.
func (o *operators) newestAcknowledged(by time.Duration) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, acknowledged := range slices.Backward(o.acknowledged) {
		if acknowledged.at <= by {
			return acknowledged.version
		}
	}
	return 0
}

func (o *operators) recordAcknowledged(put Operation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.acknowledged) == 0 || o.acknowledged[len(o.acknowledged)-1].version < put.Version {
		o.acknowledged = append(o.acknowledged, acknowledgedVersion{put.Version, put.Return})
	}
}

func (o *operators) nextVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	return o.version
}

// onNextAcknowledgement registers a callback for the next acknowledgement of any member. It runs before the caller gets the response.
func (o *operators) onNextAcknowledgement(callback func(member string)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ackCallbacks = append(o.ackCallbacks, callback)
}

// notifyAcknowledgement calls and removes the registered callbacks.
func (o *operators) notifyAcknowledgement(member string) {
	o.mu.Lock()
	callbacks := o.ackCallbacks
	o.ackCallbacks = nil
	o.mu.Unlock()
	for _, callback := range callbacks {
		callback(member)
	}
}

// run makes calls until ctx ends.
func (o *operators) run(ctx context.Context, number int, random *rand.Rand) {
	evacuated := false
	for ctx.Err() == nil {
		switch chance := random.Float64(); {
		case chance < readShare:
			o.call(Operation{Operator: number, Kind: ReadOperation, Member: o.randomMember(random)})
		case chance < readShare+evacuationShare && number == 0:
			kind := EvacuateOperation
			if evacuated {
				kind = RestoreOperation
			}
			evacuated = !evacuated
			o.callUntilAcknowledged(ctx, Operation{Operator: number, Kind: kind, Zone: evacuatedZone}, random)
		default:
			o.callUntilAcknowledged(ctx, Operation{Operator: number, Kind: PutOperation, Version: o.nextVersion()}, random)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int64N(int64(2 * operatorPause)))):
		}
	}
	if evacuated {
		o.callUntilAcknowledged(context.WithoutCancel(ctx), Operation{Operator: number, Kind: RestoreOperation, Zone: evacuatedZone}, random)
	}
}

func (o *operators) randomMember(random *rand.Rand) string {
	return o.cluster.members[random.IntN(len(o.cluster.members))].name
}

// callUntilAcknowledged repeats an operation at random members until it is acknowledged or has been attempted maxOperationAttempts
// times.
func (o *operators) callUntilAcknowledged(ctx context.Context, operation Operation, random *rand.Rand) {
	for attempt := range maxOperationAttempts {
		operation.Member = o.randomMember(random)
		if o.call(operation).Acknowledged() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(attempt+1) * operatorPause / 2):
		}
	}
}

// call performs an operation at one member and records it.
func (o *operators) call(operation Operation) Operation {
	operation.Call = o.cluster.now()
	query, body := operation.query()
	status, response := o.cluster.callMember(operation.Member, query, body)
	operation.Return, operation.Status = o.cluster.now(), status
	if status == http.StatusOK && operation.Kind == ReadOperation {
		operation.Version = versionOf(response)
		operation.Altered = !bytes.Equal(response, configuration(operation.Version))
	}
	if operation.Acknowledged() && operation.Kind == PutOperation {
		o.recordAcknowledged(operation)
	}
	o.cluster.record.update(func(r *Record) { r.Operations = append(r.Operations, operation) })
	return operation
}

func (o Operation) query() (query string, body []byte) {
	switch o.Kind {
	case PutOperation:
		return "call=configuration.replace", configuration(o.Version)
	case EvacuateOperation:
		return "call=evacuations.start&of=" + o.Zone, nil
	case RestoreOperation:
		return "call=evacuations.finish&of=" + o.Zone, nil
	case ReadOperation:
	}
	return "call=configuration.describe", nil
}

func versionOf(body []byte) uint64 {
	var version uint64
	if _, err := fmt.Sscanf(gjson.GetBytes(body, "version").String(), "%x", &version); err != nil {
		return 0
	}
	return version
}

// callMember makes a control call to a member through its relay and follows one redirect. The status is 0 if the outcome is unknown.
func (c *cluster) callMember(member, query string, body []byte) (status int, response []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	link := c.controlLinks[member]
	status, response, location := callOnce(ctx, "http://"+link.address()+"/api/rpc?"+query, body)
	if status != http.StatusTemporaryRedirect {
		if status == http.StatusOK && !strings.Contains(query, "describe") {
			c.operators.notifyAcknowledgement(member)
		}
		return status, response
	}
	for _, other := range c.members {
		if strings.HasPrefix(location, "http://"+other.controlAddress()+"/") {
			status, response, _ = callOnce(ctx, "http://"+c.controlLinks[other.name].address()+"/api/rpc?"+query, body)
			return status, response
		}
	}
	return 0, nil
}

func callOnce(ctx context.Context, url string, body []byte) (status int, responseBody []byte, location string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, ""
	}
	request.Close = true // net/http may repeat a call that fails on a reused connection
	response, err := controlTransport.RoundTrip(request)
	if err != nil {
		return 0, nil, ""
	}
	defer func() { _ = response.Body.Close() }() // ReadAll reports read errors
	responseBody, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, ""
	}
	return response.StatusCode, responseBody, response.Header.Get("Location")
}

// controlTransport opens a new connection for each call.
var controlTransport = &http.Transport{DisableKeepAlives: true}
