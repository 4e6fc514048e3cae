package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const usualShare = 0.4

func TestTraceOfTheLoadBound(t *testing.T) {
	for _, size := range []struct{ gateways, engines int }{{1, 41}, {22, 41}, {340, 60}} {
		for _, usual := range []float64{0, usualShare} {
			t.Run(fmt.Sprint(size.gateways, " usual ", usual), func(t *testing.T) {
				t.Parallel()
				f := newOverloadFleet(1, size.gateways, size.engines)
				capacity := nominalRate * float64(size.engines)
				counts := map[string][2]int{}
				type sample struct{ text string }
				var samples []string
				var gaps, rooms, cands, excl, ages, fulls, lows []float64
				beyond := 0
				f.trace = func(c *caller, explained choice, send *Send, load int, mean float64) {
					key := fmt.Sprintf("%-18s holder=%v", explained.path, explained.isHolder)
					n := counts[key]
					n[0]++
					if float64(load) > 2*mean+3 {
						n[1]++
						core := f.cores[c.gateway]
						m := core.members[send.BackEnd.ID]
						gaps = append(gaps, float64(load)-1-send.Estimate)
						rooms = append(rooms, float64(explained.withRoom))
						cands = append(cands, float64(explained.candidates))
						excl = append(excl, float64(explained.excludedWithRoom))
						ages = append(ages, explained.totalsAge.Seconds())
						full := 0
						lowest := 1e9
						for _, e := range f.engines {
							if float64(e.load())+1 > core.capacity(m, c.x) {
								full++
							}
							lowest = min(lowest, float64(e.load()))
						}
						fulls = append(fulls, float64(full))
						lows = append(lows, lowest)
						if float64(load) > core.capacity(m, c.x) {
							beyond++
						}
						samples = append(samples, fmt.Sprintf("%6.3f %-5s %-10s rank %2d holder %-5v chance %.2f bound %5.1f estimate %5.1f (own %d, others %.1f, demand %.1f others %.1f) true %d; mean est %.1f true %.1f; speed %.1f running %d health %v gw %d",
							f.now.Sub(start).Seconds(), c.class.name, explained.path, explained.rank, explained.isHolder, explained.chance, explained.bound, send.Estimate, m.own-1, m.others.requests,
							m.demand.perSecond(f.now), m.others.demand, load, explained.estimatedMean, mean, f.byID[send.BackEnd.ID].speed, len(f.byID[send.BackEnd.ID].running), m.health.status(f.now), c.gateway))
					}
					counts[key] = n
				}
				f.simulate(6*time.Second, loadShape{rate: usual * capacity})
				f.simulate(6*time.Second, loadShape{rate: 5 * usualShare * capacity * (23 + 14./5) / 24, largeTenant: 14. / 5, impatient: 0.4})
				f.simulate(5*time.Second, loadShape{rate: usualShare * capacity})
				keys := []string{}
				for key := range counts {
					keys = append(keys, key)
				}
				slices.Sort(keys)
				for _, key := range keys {
					t.Logf("%s: %d, %d over", key, counts[key][0], counts[key][1])
				}
				over := map[int][2]int{}
				for _, each := range f.arrivals {
					s := int(each.at.Sub(start).Seconds() * 2)
					n := over[s]
					n[0]++
					if each.overBound {
						n[1]++
					}
					over[s] = n
				}
				line := ""
				for s := range 34 {
					line += fmt.Sprint(float64(s)/2, ":", over[s][1], "/", over[s][0], " ")
				}
				t.Log(line)
				served, refused, timedOut := 0, 0, 0
				for _, c := range f.callers {
					if c.served {
						served++
					}
					if c.timedOut {
						timedOut++
					}
					if c.refusals > 0 {
						refused++
					}
				}
				t.Logf("callers %d served %d refused %d timed out %d preempted %d evicted %d again %d copied %d", len(f.callers), served, refused, timedOut, f.preempted, f.evictions, f.prefilledAgain, f.copied)
				for name, list := range map[string][]float64{"true-estimate": gaps, "members with room": rooms, "candidates": cands, "excluded with room": excl, "totals age": ages, "truly full": fulls, "lowest true load": lows} {
					slices.Sort(list)
					if len(list) > 0 {
						t.Logf("over bound: %s: p10 %.2f median %.2f p90 %.2f max %.2f", name, list[len(list)/10], list[len(list)/2], list[len(list)*9/10], list[len(list)-1])
					}
				}
				t.Logf("over the bound and the capacity %d of %d", beyond, len(samples))
				worst, of := 0, 1
				first, over5 := 0, 0
				for last, each := range f.arrivals {
					if each.overBound {
						over5++
					}
					for each.at.Sub(f.arrivals[first].at) > 5*time.Second {
						if f.arrivals[first].overBound {
							over5--
						}
						first++
					}
					if over5 >= 20 && over5*of > worst*(last-first+1) {
						worst, of = over5, last-first+1
					}
				}
				t.Logf("worst five seconds: %d of %d over = %.3f", worst, of, float64(worst)/float64(of))
				step := max(1, len(samples)/25)
				var chosen []string
				for i := 0; i < len(samples); i += step {
					chosen = append(chosen, samples[i])
				}
				t.Log("\n" + strings.Join(chosen, "\n"))
			})
		}
	}
}
