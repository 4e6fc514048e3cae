package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const repeatedContent = Fingerprint(7)

// Guards against a tenant whose requests all have one content, and are refused for a day after back ends crashed beside
// them.
func TestWithheldContentIsReleasedByATrial(t *testing.T) {
	for _, size := range crashFleetSizes {
		t.Run(fmt.Sprint(size.gateways, " gateways"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newCrashFleet(3, size.gateways, size.backEnds)
			f.repeated = repeatedContent
			f.simulate(10*time.Second, trialLoad)
			is.True(len(f.crashedAt) >= crashesToWithhold)
			f.mended = true
			f.simulate(releaseTime, trialLoad)
			since := f.now
			f.simulate(5*time.Second, trialLoad)
			share := f.badBegan(since)
			t.Logf("%d back ends crashed; %.3f of the requests begin once they no longer do", len(f.crashedAt), share)
			is.True(share >= minBeganShare)
		})
	}
}

// Guards against trials of a content that reach more back ends than operators allow.
func TestTrialsOfAContentAreFew(t *testing.T) {
	for _, size := range crashFleetSizes {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(size.gateways, " gateways, seed ", seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newCrashFleet(seed, size.gateways, size.backEnds)
				f.repeated = repeatedContent
				f.simulate(4*time.Minute, trialLoad)
				t.Logf("%d back ends crashed, %d late sends", len(f.crashedAt), f.lateSends())
				is.True(f.lateSends() >= 1) // it is tried
				is.True(f.lateSends() <= allowedLateSends)
			})
		}
	}
}

// A withheld content is sent twice more within a day, however often it comes, and only as a first attempt.
func TestContentThatCrashesOnIsTriedTwice(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(12, 6))
	crashBackEnds(core, start, uint64(repeatedContent), crashesToWithhold)
	trials := 0
	for now := start.Add(time.Second); now.Before(start.Add(withholdTime - time.Minute)); now = now.Add(time.Second) {
		trials += len(crashBackEnds(core, now, uint64(repeatedContent), 1))
	}
	is.Equal(trials, len(suspectTrials.delays))
}
