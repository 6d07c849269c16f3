package scalerun

import (
	"context"
	"net/http"
	"time"
)

// acknowledgement is when a version of the configuration was acknowledged.
type acknowledgement struct {
	version uint64
	at      time.Time
}

// measureConfigChanges replaces the configuration several times and measures until each version has come to all gateways.
func (e *experiment) measureConfigChanges(ctx context.Context) error {
	for i := range e.ConfigChanges {
		if err := e.measureConfigChange(ctx, uint64(firstConfigured+1+i)); err != nil {
			return err
		}
		if err := e.wait(ctx, pauseAfterEach); err != nil {
			return err
		}
	}
	e.addQuantiles(roleConfiguration, "from acknowledged to arrived", "ms", e.propagationMillis())
	return nil
}

func (e *experiment) measureConfigChange(ctx context.Context, version uint64) error {
	took, err := e.replaceConfiguration(ctx, version)
	if err != nil {
		return err
	}
	acknowledged := acknowledgement{version: version, at: time.Now()}
	e.addRow(roleConfiguration, "acknowledged after", "ms", float64(took.Milliseconds())/float64(e.ConfigChanges))
	e.rows = sumRows(e.rows)
	e.acknowledgements = append(e.acknowledgements, acknowledged)
	return e.until(ctx, "a version has come to all", func() bool {
		for _, gateway := range e.gateways {
			if _, ok := gateway.VersionArrival(version); !ok {
				return false
			}
		}
		return true
	})
}

// replaceConfiguration gives a version to the first member until it is acknowledged, and returns how long that took.
func (e *experiment) replaceConfiguration(ctx context.Context, version uint64) (time.Duration, error) {
	body := e.fleet.Configuration(version, routesPerHost)
	startedAt := time.Now()
	err := e.until(ctx, "a configuration is acknowledged", func() bool {
		status, _, err := call(ctx, e.members[0].controlAddress, "configuration.replace", body)
		return err == nil && status == http.StatusOK
	})
	return time.Since(startedAt), err
}

// propagationMillis are the times from each acknowledgement until the version had come to each gateway.
func (e *experiment) propagationMillis() []float64 {
	var millis []float64
	for _, acknowledged := range e.acknowledgements {
		for _, gateway := range e.gateways {
			if at, ok := gateway.VersionArrival(acknowledged.version); ok {
				millis = append(millis, max(float64(at.Sub(acknowledged.at).Microseconds())/1000, 0))
			}
		}
	}
	return millis
}
