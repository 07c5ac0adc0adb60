package bench

import (
	"testing"
)

// Guards against processes that revert to an older revision or activate wrong
// content, and against a model whose runs differ for the same seed.
func TestConfigIsCorrectAndDeterministic(t *testing.T) {
	run := func() *configSim {
		s := newConfigSim(configCurrentSize, 1, false)
		s.schedule()
		s.events.Run(configDuration)
		return s
	}
	a, b := run(), run()
	timesA, missing := a.spreadTimes(configDuration - configQuietPeriod)
	timesB, _ := b.spreadTimes(configDuration - configQuietPeriod)
	if a.reverts != 0 || a.wrongAccepts != 0 || missing != 0 {
		t.Errorf("reverts %d, wrong accepts %d, missing %d", a.reverts, a.wrongAccepts, missing)
	}
	if len(timesA) != len(timesB) || quantile(timesA, 1) != quantile(timesB, 1) {
		t.Error("two runs of one seed differ")
	}
}
