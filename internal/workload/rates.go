package workload

import "iter"

// Line is a time as a linear function of a load.
type Line struct {
	// Fixed is the time without load, and Each what each unit of load adds, in seconds.
	Fixed, Each float64
	// Samples is the number of recent samples that the line rests on. Older ones count less.
	Samples float64
}

func (l Line) at(load float64) float64 { return l.Fixed + l.Each*load }

// orDefault returns the line, or the standard one if it isn't known.
func (l Line) orDefault(standard Line) Line {
	if l.Fixed <= 0 || l.Each <= 0 {
		return standard
	}
	return l
}

// plusWeighted adds a line, weighted by its samples, to a sum of weighted lines.
func (l Line) plusWeighted(other Line) Line {
	return Line{
		Fixed: l.Fixed + other.Fixed*other.Samples, Each: l.Each + other.Each*other.Samples, Samples: l.Samples + other.Samples,
	}
}

// mean returns the mean of the lines in a sum of weighted lines, or zero without samples.
func (l Line) mean() Line {
	if l.Samples == 0 {
		return Line{}
	}
	return Line{Fixed: l.Fixed / l.Samples, Each: l.Each / l.Samples, Samples: l.Samples}
}

// Rates are the times that an engine takes for its work. The zero value of a line means unknown.
type Rates struct {
	// Prompt is the time to the first token by the number of prompt tokens to prefill, without
	// the decode steps of other streams. Its fixed part is mostly the network and the current step.
	Prompt Line
	// Step is the time of a decode step by the number of streams.
	Step Line
}

// defaultRates are the figures of the engines in docs/design/overload.md: 57 prompt tokens per
// millisecond, and steps of 3.8 ms plus 0.09 ms per stream. The overhead of 5 ms is an estimate.
var defaultRates = Rates{Prompt: Line{Fixed: 0.005, Each: 0.0000175}, Step: Line{Fixed: 0.0038, Each: 0.00009}}

// MeanRates returns the mean of the rates of several engines, weighted by their samples.
func MeanRates(engines iter.Seq[Rates]) Rates {
	var sum Rates
	for each := range engines {
		sum.Prompt = sum.Prompt.plusWeighted(each.Prompt)
		sum.Step = sum.Step.plusWeighted(each.Step)
	}
	return Rates{Prompt: sum.Prompt.mean(), Step: sum.Step.mean()}
}
