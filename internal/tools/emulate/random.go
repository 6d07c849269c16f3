package emulate

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// uniform draws a duration from [low, high).
func (sim *Simulation) uniform(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.randomStream.Float64()*float64(high-low))
}

// sample draws a share of a list without replacement, and at least one element if the share is above 0.
func sample[T any](sim *Simulation, share float64, all []T) []T {
	all = slices.Clone(all)
	sim.randomStream.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := int(math.Round(share * float64(len(all))))
	if share > 0 && n == 0 {
		n = min(1, len(all))
	}
	return all[:n]
}

// gammaVariate draws from the gamma distribution with mean 1 and the given coefficient of variation, by the method of
// Marsaglia and Tsang, "A simple method for generating gamma variables" (2000). It returns 1 if the coefficient is 0.
func gammaVariate(stream *rand.Rand, coefficientOfVariation float64) float64 {
	if coefficientOfVariation <= 0 {
		return 1
	}
	shape := 1 / (coefficientOfVariation * coefficientOfVariation)
	boost := 1.0
	a := shape
	if a < 1 { // the method requires shape >= 1: draw with shape+1 and scale down
		boost, a = math.Pow(stream.Float64(), 1/a), a+1
	}
	d := a - 1.0/3
	c := 1 / math.Sqrt(9*d)
	for {
		x := stream.NormFloat64()
		v := 1 + c*x
		if v <= 0 {
			continue
		}
		v = v * v * v
		if math.Log(1-stream.Float64()) < x*x/2+d-d*v+d*math.Log(v) {
			return d * v * boost / shape
		}
	}
}
