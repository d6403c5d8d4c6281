package speed

import (
	"cmp"
	"math"
)

// level returns the logarithm of the slowdown of a level.
func level(k int) float64 { return float64(k-levels/2) * levelWidth }

func compare(a, b float64) int { return cmp.Compare(a, b) }

// setNormal sets the distribution to a normal one.
func (d *distribution) setNormal(mean, deviation float64) {
	for k := range d {
		z := (level(k) - mean) / deviation
		d[k] = -z * z / 2
	}
	d.clamp()
}

// clamp makes the highest weight 0 and bounds the others.
func (d *distribution) clamp() {
	highest := d[0]
	for _, v := range d {
		highest = max(highest, v)
	}
	for k := range d {
		d[k] = max(d[k]-highest, -certainty)
	}
}

func (d *distribution) add(other *distribution) {
	for k := range d {
		d[k] += other[k]
	}
}

func (d *distribution) subtract(other *distribution) {
	for k := range d {
		d[k] -= other[k]
	}
}

// probabilities returns the weights, which sum up to 1.
func (d *distribution) probabilities() [levels]float64 {
	var p [levels]float64
	highest, sum := d[0], 0.0
	for _, v := range d {
		highest = max(highest, v)
	}
	for k, v := range d {
		p[k] = math.Exp(v - highest)
		sum += p[k]
	}
	for k := range p {
		p[k] /= sum
	}
	return p
}

// estimate returns the mean and the deviation.
func (d *distribution) estimate(count float64) Estimate {
	mean, variance := moments(d.probabilities())
	return Estimate{Mean: mean, Deviation: math.Sqrt(variance), Count: count}
}

// moments returns the mean and the variance of the levels.
func moments(p [levels]float64) (mean, variance float64) {
	square := 0.0
	for k, v := range p {
		mean += v * level(k)
		square += v * level(k) * level(k)
	}
	return mean, max(square-mean*mean, levelWidth*levelWidth/12)
}

// robust makes a likelihood that of a step which may be an outlier.
func (d *distribution) robust() {
	highest := d[0]
	for _, v := range d {
		highest = max(highest, v)
	}
	for k := range d {
		d[k] = math.Log(outlierShare + (1-outlierShare)*math.Exp(d[k]-min(highest, 0)))
	}
}
