package workload

import (
	"math"
	"time"
)

const (
	// priorWeight is the weight of what is assumed without samples, in samples.
	priorWeight = 0.5
	// outlierRatio and its inverse limit the ratio of a sample to the usual rates. Engines differ by
	// less; ratios beyond it are due to a temporary slowdown or to unknown work.
	outlierRatio = 2.0
	// smallestShare limits how far the parts of a line can fall below the default. A limit relative
	// to the fallback, which is the mean of such lines, would let all of them fall together.
	smallestShare = 0.02
)

// clampOutlier limits the ratio of a sample to the usual rates.
func clampOutlier(ratio float64) float64 { return min(max(ratio, 1/outlierRatio), outlierRatio) }

// factor is a slowness, 1 being usual: the geometric mean of recent ratios.
type factor struct {
	weight, sum float64
	at          time.Time
	forgetting  time.Duration
}

// kept returns the fraction of the weight of earlier samples that is left at the given time.
func (f *factor) kept(now time.Time) float64 {
	return math.Exp(-max(now.Sub(f.at), 0).Seconds() / f.forgetting.Seconds())
}

func (f *factor) observe(now time.Time, ratio, weight float64) {
	kept := f.kept(now)
	f.weight = f.weight*kept + weight
	f.sum = f.sum*kept + weight*math.Log(ratio)
	f.at = now
}

func (f *factor) value(now time.Time) float64 {
	if f.weight == 0 {
		return 1
	}
	kept := f.kept(now)
	return math.Exp(f.sum * kept / (f.weight*kept + priorWeight))
}

// fittedLine is a line fitted to recent samples by least squares of relative errors. Two samples of
// the fallback, at no load and at the typical load, are always included.
type fittedLine struct {
	Line
	fallback Line
	// smallest holds the smallest possible parts of the line.
	smallest Line
	// typical is a typical load.
	typical float64
	// w to wxy are the weighted sums of the samples.
	w, wx, wy, wxx, wxy float64
}

// sample is one observation: the load of a line, the ratio of the observed time to the usual one,
// the weight for the line, and the weight for the engine's speed as a whole.
type sample struct{ load, ratio, weight, speedWeight float64 }

func newFittedLine(typical float64, standard Line) fittedLine {
	return fittedLine{typical: typical, smallest: Line{Fixed: smallestShare * standard.Fixed, Each: smallestShare * standard.Each}}
}

func (l *fittedLine) observe(seen sample) {
	expected := l.at(seen.load)
	l.add(seen.load, expected*clampOutlier(seen.ratio), seen.weight/(expected*expected))
	l.Samples += seen.weight
}

func (l *fittedLine) add(x, y, weight float64) {
	l.w += weight
	l.wx += weight * x
	l.wy += weight * y
	l.wxx += weight * x * x
	l.wxy += weight * x * y
}

// decay multiplies the weight of all samples by the fraction kept.
func (l *fittedLine) decay(kept float64) {
	l.Samples *= kept
	l.w, l.wx, l.wy, l.wxx, l.wxy = l.w*kept, l.wx*kept, l.wy*kept, l.wxx*kept, l.wxy*kept
}

// fit updates the line. level scales the fallback: an engine that is slow at one load is probably
// slow at all.
func (l *fittedLine) fit(level float64) {
	all := *l
	for _, x := range [...]float64{0, l.typical} {
		y := level * l.fallback.at(x)
		all.add(x, y, priorWeight/(y*y))
	}
	slope := (all.w*all.wxy - all.wx*all.wy) / (all.w*all.wxx - all.wx*all.wx)
	l.Each = max(slope, l.smallest.Each)
	l.Fixed = max((all.wy-l.Each*all.wx)/all.w, l.smallest.Fixed)
}
