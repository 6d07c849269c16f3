package scalerun

import (
	"bytes"
	"errors"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"

	"zincloft.example/zincloft/internal/sizes"
)

// Target is the size to which figures are extrapolated, and the bounds there.
type Target struct {
	Gateways int     `toml:"governors"`
	Replicas int     `toml:"replicas"`
	Services int     `toml:"services"`
	Routes   int     `toml:"routes"`
	Zones    int     `toml:"zones"`
	Requests float64 `toml:"requests_per_second"`

	Bounds []Bound `toml:"bound"`
}

// Bound is what a figure may be at the target.
type Bound struct {
	Name   string  `toml:"name"` // of the series
	Unit   string  `toml:"unit"`
	Max    float64 `toml:"most"`
	Reason string  `toml:"why"`
}

// ErrEmptyTarget is wrapped by ReadTarget's error on a target that lacks a size.
var ErrEmptyTarget = errors.New("governors, replicas, services, routes and zones must all be above nothing")

// Fleet returns the target's size.
func (t Target) Fleet() sizes.Fleet {
	return sizes.Fleet{Gateways: t.Gateways, Replicas: t.Replicas, Services: t.Services, Routes: t.Routes, Zones: t.Zones}
}

// ReadTarget reads a target file. Bounds may have earlier names of series. An unknown key is an error.
func ReadTarget(path string) (Target, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Target{}, err
	}
	var target Target
	decoder := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := decoder.Decode(&target); err != nil {
		return target, merry.Prepend(err, path)
	}
	if target.Gateways < 1 || target.Replicas < 1 || target.Services < 1 || target.Routes < 1 || target.Zones < 1 {
		return target, merry.Prepend(ErrEmptyTarget, path)
	}
	for i := range target.Bounds {
		target.Bounds[i].Name = currentSeriesName(target.Bounds[i].Name)
	}
	return target, nil
}
